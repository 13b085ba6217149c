package amberhoist.upgrade;

import amberhoist.upgrade.UpgradeRecord.Member;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Encodes the record as a JSON object whose first field is the version of the format. */
public final class UpgradeRecordCodec {
  /** The version of the format. Records of other versions are not read, and those of newer versions not overwritten. */
  public static final int VERSION = 1;

  private static final JsonFactory JSON = new JsonFactory();

  /** Thrown when bytes are not a valid record of this version; the message gives the reason in one line. */
  public static final class UnreadableRecordException extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean isNewerVersion;

    UnreadableRecordException(String reason, boolean isNewerVersion) {
      super(reason);
      this.isNewerVersion = isNewerVersion;
    }

    /** Whether the record has a newer version of the format. */
    public boolean isNewerVersion() {
      return isNewerVersion;
    }
  }

  private UpgradeRecordCodec() {}

  /** Encodes a record. */
  public static byte[] encode(UpgradeRecord record) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeNumberField("version", VERSION);
      out.writeArrayFieldStart("suspended");
      for (String provider : record.suspended()) {
        out.writeString(provider);
      }
      out.writeEndArray();
      out.writeArrayFieldStart("members");
      for (Member member : record.members()) {
        out.writeStartObject();
        out.writeStringField("token", member.token());
        out.writeNumberField("pid", member.pid());
        out.writeBooleanField("ready", member.ready());
        out.writeNumberField("descriptors", member.descriptors());
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeObjectFieldStart("bindings");
      for (Map.Entry<String, String> binding : record.bindings().entrySet()) {
        out.writeStringField(binding.getKey(), binding.getValue());
      }
      out.writeEndObject();
      out.writeEndObject();
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
    return bytes.toByteArray();
  }

  /** Decodes a record. */
  public static UpgradeRecord decode(byte[] bytes) throws UnreadableRecordException {
    try (JsonParser in = JSON.createParser(bytes)) {
      require(in.nextToken() == JsonToken.START_OBJECT && "version".equals(in.nextFieldName()), "no version");
      require(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "the version is not a number");
      int version = in.getIntValue();
      if (version != VERSION) {
        throw new UnreadableRecordException("unsupported version " + version + ", expected " + VERSION,
            version > VERSION);
      }
      Set<String> suspended = new TreeSet<>();
      List<Member> members = new ArrayList<>();
      Map<String, String> bindings = new HashMap<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        if (field.equals("bindings")) {
          require(in.nextToken() == JsonToken.START_OBJECT, "bindings is not an object");
          while (in.nextToken() == JsonToken.FIELD_NAME) {
            bindings.put(in.currentName(), in.nextTextValue());
          }
          require(in.currentToken() == JsonToken.END_OBJECT && !bindings.containsValue(null),
              "the value of a binding is not a string");
          continue;
        }
        require(in.nextToken() == JsonToken.START_ARRAY, field + " is not an array");
        while (in.nextToken() != JsonToken.END_ARRAY) {
          if (field.equals("suspended")) {
            require(in.currentToken() == JsonToken.VALUE_STRING, "a suspended provider is not a string");
            suspended.add(in.getText());
          } else {
            require(field.equals("members"), "unknown field");
            members.add(readMember(in));
          }
        }
      }
      require(in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null, "the record is incomplete");
      return new UpgradeRecord(suspended, members, bindings);
    } catch (IOException fault) {
      throw new UnreadableRecordException("the record is incomplete or not JSON", false);
    }
  }

  private static Member readMember(JsonParser in) throws IOException, UnreadableRecordException {
    require(in.currentToken() == JsonToken.START_OBJECT, "a member is not an object");
    String token = null;
    long pid = 0;
    boolean ready = false;
    int descriptors = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String field = in.currentName();
      in.nextToken();
      switch (field) {
        case "token" -> token = in.getText();
        case "pid" -> pid = in.getLongValue();
        case "ready" -> ready = in.getBooleanValue();
        case "descriptors" -> descriptors = in.getIntValue();
        default -> require(false, "unknown field of a member");
      }
    }
    require(token != null && pid > 0, "a member without token or pid");
    return new Member(token, pid, ready, descriptors);
  }

  private static void require(boolean condition, String message) throws UnreadableRecordException {
    if (!condition) {
      throw new UnreadableRecordException(message, false);
    }
  }
}
