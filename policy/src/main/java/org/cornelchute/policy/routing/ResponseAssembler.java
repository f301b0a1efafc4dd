package org.cornelchute.policy.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.cornelchute.core.message.ServingMessage;

/**
 * Assembles the frames of a response and delivers them to the caller.
 *
 * <p>A response is complete only if the number of parts and bytes received matches the numbers in
 * its end frame. Event streams are delivered in complete events, so that a stream resumed on
 * another endpoint continues at an event boundary. Other responses are buffered up to a maximum
 * size; until then a retry is invisible to the caller.
 *
 * <p>A response continues a stream only if it has status 200 and the content type of the first
 * response, consists of complete events and comments, and holds an event. Everything else is the
 * error of an endpoint, of which the caller must receive nothing.
 */
final class ResponseAssembler {

  private static final int OK = 200;
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

  /** The last event of a model's stream. */
  private static final byte[] LAST_EVENT = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);

  private static final List<byte[]> FIELDS =
      List.of(
          DATA_FIELD,
          "id".getBytes(StandardCharsets.US_ASCII),
          "event".getBytes(StandardCharsets.US_ASCII),
          "retry".getBytes(StandardCharsets.US_ASCII));

  private final int maxBufferedBytes;

  ResponseAssembler(int maxBufferedBytes) {
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Handles the head of a response.
   *
   * @return false if the caller already has the head of an earlier attempt and this response cannot
   *     continue it
   */
  boolean acceptHead(long now, RequestState request, ServingMessage.AnswerHead head) {
    request.lastFrameAt = now;
    if (request.headReceived) {
      return true;
    }
    request.headReceived = true;
    request.resumed = request.headDelivered;
    request.eventsBeforeAttempt = request.eventsDelivered;
    if (request.resumed) {
      return head.status() == OK
          && mediaType(head.contentType()).equals(mediaType(request.contentType));
    }
    request.status = head.status();
    request.contentType = head.contentType();
    request.manifest = head.generation().manifest();
    return true;
  }

  /**
   * Handles a part of a response; drops a part that is repeated or out of order.
   *
   * @return false if the response was to continue a stream and holds something else
   */
  boolean acceptPart(
      long now, List<RoutingEffect> effects, RequestState request, ServingMessage.AnswerPart part) {
    request.lastFrameAt = now;
    if (part.index() != request.nextPartIndex || !request.headReceived) {
      // A replay repeats parts that were received before. A missing part is detected by the part
      // count of the end frame.
      return true;
    }
    request.nextPartIndex++;
    request.receivedBytes += part.bytes().length;
    if (request.spec.stream() && request.status == OK) {
      return deliverCompleteEvents(effects, request, part.bytes());
    }
    request.bufferedParts.add(part.bytes());
    request.bufferedBytes += part.bytes().length;
    if (request.bufferedBytes > maxBufferedBytes) {
      flushBuffer(effects, request);
    }
    return true;
  }

  /** Handles the end of a response; returns whether it is complete and has been delivered. */
  boolean acceptEnd(
      List<RoutingEffect> effects, RequestState request, ServingMessage.AnswerEnd end) {
    boolean complete =
        end.complete()
            && request.headReceived
            && end.parts() == request.nextPartIndex
            && end.bytes() == request.receivedBytes;
    boolean nothingNew =
        request.resumed
            && (request.eventsDelivered == request.eventsBeforeAttempt
                || !isBlank(request.incompleteEvent));
    if (!complete || nothingNew) {
      return false;
    }
    flushBuffer(effects, request);
    if (request.incompleteEvent.length > 0) {
      effects.add(new RoutingEffect.AppendResponse(request.spec.id(), request.incompleteEvent));
    }
    effects.add(new RoutingEffect.CompleteResponse(request.spec.id()));
    return true;
  }

  private static boolean deliverCompleteEvents(
      List<RoutingEffect> effects, RequestState request, byte[] bytes) {
    byte[] buffer = bytes;
    if (request.incompleteEvent.length > 0) {
      buffer =
          Arrays.copyOf(request.incompleteEvent, request.incompleteEvent.length + bytes.length);
      System.arraycopy(bytes, 0, buffer, request.incompleteEvent.length, bytes.length);
    }
    int completeLength = 0;
    int events = 0;
    boolean continues = true;
    for (int i = 0; i + 1 < buffer.length; i++) {
      if (buffer[i] == '\n' && buffer[i + 1] == '\n') {
        continues = !request.resumed || isPartOfStream(buffer, completeLength, i);
        if (!continues) {
          break;
        }
        events += hasData(buffer, completeLength, i) ? 1 : 0;
        request.lastEventDelivered =
            Arrays.equals(buffer, completeLength, i, LAST_EVENT, 0, LAST_EVENT.length);
        completeLength = i + 2;
        i++;
      }
    }
    request.incompleteEvent = Arrays.copyOfRange(buffer, completeLength, buffer.length);
    if (completeLength > 0) {
      deliverHead(effects, request);
      request.eventsDelivered += events;
      byte[] completeEvents =
          completeLength == buffer.length ? buffer : Arrays.copyOf(buffer, completeLength);
      effects.add(new RoutingEffect.AppendResponse(request.spec.id(), completeEvents));
    }
    return continues;
  }

  /** Returns whether all lines between two indexes, one at least, are comments or known fields. */
  private static boolean isPartOfStream(byte[] buffer, int from, int to) {
    boolean found = false;
    for (int i = from; i < to; i = nextLine(buffer, i, to)) {
      if (buffer[i] == '\n' || buffer[i] == '\r') {
        continue;
      }
      boolean known = buffer[i] == ':';
      for (byte[] field : FIELDS) {
        known = known || isField(buffer, i, to, field);
      }
      if (!known) {
        return false;
      }
      found = true;
    }
    return found;
  }

  /** Returns whether a line between two indexes has data, so that it belongs to an event. */
  private static boolean hasData(byte[] buffer, int from, int to) {
    for (int i = from; i < to; i = nextLine(buffer, i, to)) {
      if (isField(buffer, i, to, DATA_FIELD)) {
        return true;
      }
    }
    return false;
  }

  private static int nextLine(byte[] buffer, int from, int to) {
    int i = from;
    while (i < to && buffer[i] != '\n') {
      i++;
    }
    return i + 1;
  }

  /** Returns whether the line at an index has a field, with a value or without. */
  private static boolean isField(byte[] buffer, int index, int to, byte[] name) {
    int end = index + name.length;
    return end <= to
        && Arrays.equals(buffer, index, end, name, 0, name.length)
        && (end == to || buffer[end] == ':' || buffer[end] == '\n' || buffer[end] == '\r');
  }

  private static boolean isBlank(byte[] bytes) {
    for (byte b : bytes) {
      if (b != '\n' && b != '\r') {
        return false;
      }
    }
    return true;
  }

  /** Returns a content type without its parameters, in lower case. */
  private static String mediaType(String contentType) {
    return contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
  }

  private static void flushBuffer(List<RoutingEffect> effects, RequestState request) {
    deliverHead(effects, request);
    for (byte[] part : request.bufferedParts) {
      effects.add(new RoutingEffect.AppendResponse(request.spec.id(), part));
    }
    request.bufferedParts.clear();
    request.bufferedBytes = 0;
  }

  private static void deliverHead(List<RoutingEffect> effects, RequestState request) {
    if (!request.headDelivered) {
      request.headDelivered = true;
      effects.add(
          new RoutingEffect.StartResponse(
              request.spec.id(), request.status, request.contentType, request.manifest));
    }
  }
}
