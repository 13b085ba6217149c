package amberhoist.group;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Encodes and decodes the payloads of the log's frames: log entries, snapshot chunks and group members. The operation
 * of an entry is a command in bytes, a membership change, or null.
 */
final class LogPayloadCodec {
  private static final int NO_OPERATION = 0;
  private static final int COMMAND = 1;
  private static final int MEMBERSHIP_CHANGE = 2;
  private static final int MAX_MEMBERS = 1024;

  final RaftModelFactory modelFactory = new DefaultRaftModelFactory();

  /** Encodes one payload. */
  interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  /** Decodes one payload. */
  interface Reader<T> {
    T read(DataInputStream in) throws IOException;
  }

  static byte[] encode(Writer writer) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writer.write(new DataOutputStream(bytes));
    return bytes.toByteArray();
  }

  static <T> T decode(byte[] bytes, Reader<T> reader) throws IOException {
    return reader.read(new DataInputStream(new ByteArrayInputStream(bytes)));
  }

  void entry(DataOutputStream out, LogEntry entry) throws IOException {
    out.writeLong(entry.getIndex());
    out.writeInt(entry.getTerm());
    operation(out, entry.getOperation());
  }

  LogEntry entry(DataInputStream in) throws IOException {
    return modelFactory.createLogEntryBuilder().setIndex(in.readLong()).setTerm(in.readInt())
        .setOperation(operation(in)).build();
  }

  void chunk(DataOutputStream out, SnapshotChunk chunk) throws IOException {
    out.writeLong(chunk.getIndex());
    out.writeInt(chunk.getTerm());
    out.writeInt(chunk.getSnapshotChunkIndex());
    out.writeInt(chunk.getSnapshotChunkCount());
    operation(out, chunk.getOperation());
    membersView(out, chunk.getGroupMembersView());
  }

  SnapshotChunk chunk(DataInputStream in) throws IOException {
    return modelFactory.createSnapshotChunkBuilder().setIndex(in.readLong()).setTerm(in.readInt())
        .setSnapshotChunkIndex(in.readInt()).setSnapshotChunkCount(in.readInt()).setOperation(operation(in))
        .setGroupMembersView(membersView(in)).build();
  }

  void membersView(DataOutputStream out, RaftGroupMembersView view) throws IOException {
    out.writeLong(view.getLogIndex());
    members(out, view.getMembers());
    members(out, view.getVotingMembers());
  }

  RaftGroupMembersView membersView(DataInputStream in) throws IOException {
    return modelFactory.createRaftGroupMembersViewBuilder().setLogIndex(in.readLong()).setMembers(members(in))
        .setVotingMembers(members(in)).build();
  }

  private void operation(DataOutputStream out, Object operation) throws IOException {
    if (operation instanceof byte[] command) {
      out.writeByte(COMMAND);
      out.writeInt(command.length);
      out.write(command);
    } else if (operation instanceof UpdateRaftGroupMembersOp change) {
      out.writeByte(MEMBERSHIP_CHANGE);
      members(out, change.getMembers());
      members(out, change.getVotingMembers());
      member(out, change.getEndpoint());
      out.writeUTF(change.getMode().name());
    } else if (operation == null) {
      out.writeByte(NO_OPERATION);
    } else {
      throw new IOException("cannot store an operation of type " + operation.getClass().getName());
    }
  }

  private Object operation(DataInputStream in) throws IOException {
    int kind = in.readByte();
    switch (kind) {
      case NO_OPERATION:
        return null;
      case COMMAND:
        byte[] command = new byte[in.readInt()];
        in.readFully(command);
        return command;
      case MEMBERSHIP_CHANGE:
        return modelFactory.createUpdateRaftGroupMembersOpBuilder().setMembers(members(in))
            .setVotingMembers(members(in)).setEndpoint(member(in))
            .setMode(MembershipChangeMode.valueOf(in.readUTF())).build();
      default:
        throw new IOException("unknown operation kind " + kind);
    }
  }

  private static void members(DataOutputStream out, Collection<RaftEndpoint> members) throws IOException {
    out.writeInt(members.size());
    for (RaftEndpoint each : members) {
      member(out, each);
    }
  }

  private static List<RaftEndpoint> members(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > MAX_MEMBERS) {
      throw new IOException(count + " is not a valid number of members");
    }
    List<RaftEndpoint> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(in));
    }
    return members;
  }

  /** Writes a member, or an empty name for null, which is a term without a vote. */
  static void member(DataOutputStream out, RaftEndpoint member) throws IOException {
    out.writeUTF(member == null ? "" : (String) member.getId());
  }

  /** Reads a member; null where the name is empty. */
  static RaftEndpoint member(DataInputStream in) throws IOException {
    String name = in.readUTF();
    return name.isEmpty() ? null : new MemberId(name);
  }
}
