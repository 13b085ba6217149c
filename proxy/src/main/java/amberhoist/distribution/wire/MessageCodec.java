package amberhoist.distribution.wire;

import amberhoist.distribution.Message;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;

/** Encodes and decodes {@link Message}s. Thread-safe. */
public final class MessageCodec {
  /** Max. length of a message in bytes; a longer one is rejected before it is parsed. */
  public static final int MAX_MESSAGE_BYTES = 16 << 10;

  private static final int MAX_NESTING_DEPTH = 4;
  private static final int MAX_STRING_LENGTH = 1 << 10;

  /** Names the types of messages on the wire. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
  @JsonSubTypes({
      @JsonSubTypes.Type(value = Message.Renew.class, name = "renew"),
      @JsonSubTypes.Type(value = Message.Fetch.class, name = "fetch"),
      @JsonSubTypes.Type(value = Message.Prepared.class, name = "prepared"),
      @JsonSubTypes.Type(value = Message.Leave.class, name = "leave"),
      @JsonSubTypes.Type(value = Message.Rejected.class, name = "rejected"),
      @JsonSubTypes.Type(value = Message.Deferred.class, name = "deferred"),
      @JsonSubTypes.Type(value = Message.Status.class, name = "status"),
      @JsonSubTypes.Type(value = Message.Offer.class, name = "offer"),
      @JsonSubTypes.Type(value = Message.Chunk.class, name = "chunk"),
      @JsonSubTypes.Type(value = Message.Granted.class, name = "granted")})
  private interface MessageTypes {}

  /** Thrown for an invalid message; the connection to its sender must be closed. */
  public static final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message, Throwable cause) {
      super(message, cause);
    }
  }

  private final ObjectReader reader;
  private final ObjectWriter writer;

  /** Creates a codec. */
  public MessageCodec() {
    CBORFactory factory = CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(MAX_NESTING_DEPTH).maxStringLength(MAX_STRING_LENGTH).build()).build();
    ObjectMapper mapper = CBORMapper.builder(factory).addMixIn(Message.class, MessageTypes.class)
        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    reader = mapper.readerFor(Message.class);
    writer = mapper.writerFor(Message.class);
  }

  /** Encodes a message. */
  public byte[] encode(Message message) {
    try {
      return writer.writeValueAsBytes(message);
    } catch (JsonProcessingException impossible) {
      throw new IllegalArgumentException(impossible);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws MalformedMessageException when the bytes are no message, or more than the limit
   */
  public Message decode(byte[] bytes) throws MalformedMessageException {
    if (bytes.length > MAX_MESSAGE_BYTES) {
      throw new MalformedMessageException("message of " + bytes.length + " bytes exceeds the limit", null);
    }
    try {
      Message message = reader.readValue(bytes);
      if (message == null) {
        throw new MalformedMessageException("empty message", null);
      }
      return message;
    } catch (MalformedMessageException malformed) {
      throw malformed;
    } catch (IOException | IllegalArgumentException exception) {
      throw new MalformedMessageException("invalid message: " + exception.getClass().getSimpleName(), exception);
    }
  }
}
