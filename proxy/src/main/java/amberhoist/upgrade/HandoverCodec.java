package amberhoist.upgrade;

import amberhoist.upgrade.Handover.Member;
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

/** The record as bytes: one JSON object that says its version first. */
public final class HandoverCodec {
  /** The version that is written. Another one is not read, and a newer one is left as it is. */
  public static final int VERSION = 1;

  private static final JsonFactory JSON = new JsonFactory();

  /** Bytes that are no record of this version; the message says why, in one line. */
  public static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;

    private final boolean newer;

    Unreadable(String why, boolean newer) {
      super(why);
      this.newer = newer;
    }

    /** Whether a newer version of the program has written it. */
    public boolean newer() {
      return newer;
    }
  }

  private HandoverCodec() {}

  /** The record's bytes. */
  public static byte[] write(Handover record) {
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

  /** Reads a record's bytes. */
  public static Handover read(byte[] bytes) throws Unreadable {
    try (JsonParser in = JSON.createParser(bytes)) {
      require(in.nextToken() == JsonToken.START_OBJECT && "version".equals(in.nextFieldName()), "it says no version");
      require(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "its version is no number");
      int version = in.getIntValue();
      if (version != VERSION) {
        throw new Unreadable("it is of version " + version + ", not " + VERSION, version > VERSION);
      }
      Set<String> suspended = new TreeSet<>();
      List<Member> members = new ArrayList<>();
      Map<String, String> bindings = new HashMap<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        if (field.equals("bindings")) {
          require(in.nextToken() == JsonToken.START_OBJECT, "the bindings are no object");
          while (in.nextToken() == JsonToken.FIELD_NAME) {
            bindings.put(in.currentName(), in.nextTextValue());
          }
          require(in.currentToken() == JsonToken.END_OBJECT && !bindings.containsValue(null), "a binding to no text");
          continue;
        }
        require(in.nextToken() == JsonToken.START_ARRAY, field + " is no list");
        while (in.nextToken() != JsonToken.END_ARRAY) {
          if (field.equals("suspended")) {
            require(in.currentToken() == JsonToken.VALUE_STRING, "a name that is no text");
            suspended.add(in.getText());
          } else {
            require(field.equals("members"), "a field that is not known");
            members.add(member(in));
          }
        }
      }
      require(in.currentToken() == JsonToken.END_OBJECT && in.nextToken() == null, "it is not whole");
      return new Handover(suspended, members, bindings);
    } catch (IOException fault) {
      throw new Unreadable("it is not whole", false);
    }
  }

  private static Member member(JsonParser in) throws IOException, Unreadable {
    require(in.currentToken() == JsonToken.START_OBJECT, "a member that is no object");
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
        default -> require(false, "a member's field that is not known");
      }
    }
    require(token != null && pid > 0, "a member without token or number");
    return new Member(token, pid, ready, descriptors);
  }

  private static void require(boolean holds, String why) throws Unreadable {
    if (!holds) {
      throw new Unreadable(why, false);
    }
  }
}
