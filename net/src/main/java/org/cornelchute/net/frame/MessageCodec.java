package org.cornelchute.net.frame;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cornelchute.core.Version;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.CrashReport;
import org.cornelchute.core.outcome.Failure;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as MessagePack and decodes them.
 *
 * <p>Frame layout: one byte protocol version, one byte message type, then the record's components
 * as a MessagePack array in declaration order. The message type is an index into {@code
 * MESSAGE_TYPES}. New types are appended to this list. A component may be appended to a record that
 * has a deserializer of its own, which reads both forms: builds before it skip the component. Any
 * other change requires a new {@link Version#PROTOCOL}.
 */
public final class MessageCodec {

  private static final int HEADER_BYTES = 2;

  private static final List<Class<? extends Message>> MESSAGE_TYPES =
      List.of(
          ControlMessage.Hello.class,
          ControlMessage.Ping.class,
          ControlMessage.Ack.class,
          ControlMessage.PingRequest.class,
          ControlMessage.MembersRequest.class,
          ControlMessage.Members.class,
          ControlMessage.RulesRequest.class,
          ControlMessage.RulesText.class,
          ControlMessage.LoadRequest.class,
          ControlMessage.LoadReport.class,
          ServingMessage.Dispatch.class,
          ServingMessage.Cancel.class,
          ServingMessage.Seal.class,
          ServingMessage.NotRun.class,
          ServingMessage.OutcomeUnknown.class,
          ServingMessage.Running.class,
          ServingMessage.AnswerHead.class,
          ServingMessage.AnswerPart.class,
          ServingMessage.AnswerEnd.class,
          SwarmMessage.Bitfield.class,
          SwarmMessage.Have.class,
          SwarmMessage.ChunkRequest.class,
          SwarmMessage.ChunkData.class,
          SwarmMessage.ChunkRefused.class,
          ControlMessage.VersionRequest.class,
          ControlMessage.VersionReport.class,
          ControlMessage.UsageRequest.class,
          ControlMessage.UsageReport.class,
          ControlMessage.OpenCallsReport.class,
          ControlMessage.CrashEvidenceReport.class,
          ControlMessage.EndpointLimitsReport.class,
          ControlMessage.EndpointSpeedsReport.class);

  private final List<ObjectReader> readers = new ArrayList<>();
  private final Map<Class<?>, Integer> typeCodes = new HashMap<>();
  private final ObjectWriter writer;

  /** Creates a codec. It is immutable and thread-safe. */
  public MessageCodec() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new RecordsAsArrays());
    mapper.registerModule(
        new SimpleModule().addDeserializer(CrashReport.class, new CrashReportDeserializer()));
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    this.writer = mapper.writer();
    for (Class<? extends Message> type : MESSAGE_TYPES) {
      typeCodes.put(type, readers.size());
      readers.add(mapper.readerFor(type));
    }
  }

  /** Encodes a message. */
  public byte[] encode(Message message) {
    try {
      byte[] body = writer.writeValueAsBytes(message);
      byte[] frame = new byte[HEADER_BYTES + body.length];
      frame[0] = (byte) Version.PROTOCOL;
      frame[1] = typeCodes.get(message.getClass()).byteValue();
      System.arraycopy(body, 0, frame, HEADER_BYTES, body.length);
      return frame;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("message cannot be encoded: " + message.getClass(), e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @return the message, or a failure if the frame is malformed or has another protocol version
   */
  public Either<Failure, Message> decode(byte[] frame) {
    if (frame.length < HEADER_BYTES) {
      return Either.left(Failure.invalid("frame is shorter than its 2-byte header"));
    }
    if (frame[0] != Version.PROTOCOL) {
      return Either.left(
          Failure.invalid("peer uses protocol " + frame[0] + "; accepted: " + Version.PROTOCOL));
    }
    int code = frame[1];
    if (code < 0 || code >= readers.size()) {
      return Either.left(Failure.invalid("unknown message type " + code));
    }
    try (MessageUnpacker unpacker =
        MessagePack.newDefaultUnpacker(frame, HEADER_BYTES, frame.length - HEADER_BYTES)) {
      // The reader allocates memory for a length before it reads the content. Skipping the value
      // first rejects a forged length without allocating.
      unpacker.skipValue();
      Message message =
          readers.get(code).readValue(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
      return message == null
          ? Either.left(Failure.invalid("empty message body in frame of type " + code))
          : Either.right(message);
    } catch (IOException | RuntimeException e) {
      // Jackson throws unchecked exceptions for some malformed frames.
      return Either.left(Failure.invalid("malformed frame of type " + code));
    }
  }

  /** Writes records as arrays, so that frames do not contain the names of record components. */
  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;

    @Override
    public JsonFormat.Value findFormat(Annotated annotated) {
      if (annotated.getRawType().isRecord()) {
        return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
      }
      return super.findFormat(annotated);
    }
  }
}
