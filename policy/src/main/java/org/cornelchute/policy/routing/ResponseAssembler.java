package org.cornelchute.policy.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.cornelchute.core.message.ServingMessage;

/**
 * Assembles the frames of a response and delivers them to the caller.
 *
 * <p>A response is complete only if the number of parts and bytes received matches the numbers in
 * its end frame. Event streams are delivered in complete events, so that a stream resumed on
 * another endpoint continues at an event boundary. Other responses are buffered up to a maximum
 * size; until then a retry is invisible to the caller.
 */
final class ResponseAssembler {

  private static final int OK = 200;
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

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
    request.status = head.status();
    request.contentType = head.contentType();
    request.manifest = head.generation().manifest();
    return !request.headDelivered || head.status() == OK;
  }

  /** Handles a part of a response; drops a part that is repeated or out of order. */
  void acceptPart(
      long now, List<RoutingEffect> effects, RequestState request, ServingMessage.AnswerPart part) {
    request.lastFrameAt = now;
    if (part.index() != request.nextPartIndex || !request.headReceived) {
      // A replay repeats parts that were received before. A missing part is detected by the part
      // count of the end frame.
      return;
    }
    request.nextPartIndex++;
    request.receivedBytes += part.bytes().length;
    if (request.spec.stream() && request.status == OK) {
      deliverCompleteEvents(effects, request, part.bytes());
      return;
    }
    request.bufferedParts.add(part.bytes());
    request.bufferedBytes += part.bytes().length;
    if (request.bufferedBytes > maxBufferedBytes) {
      flushBuffer(effects, request);
    }
  }

  /** Handles the end of a response; returns whether it is complete and has been delivered. */
  boolean acceptEnd(
      List<RoutingEffect> effects, RequestState request, ServingMessage.AnswerEnd end) {
    boolean complete =
        end.complete()
            && request.headReceived
            && end.parts() == request.nextPartIndex
            && end.bytes() == request.receivedBytes;
    if (!complete) {
      return false;
    }
    flushBuffer(effects, request);
    if (request.incompleteEvent.length > 0) {
      effects.add(new RoutingEffect.AppendResponse(request.spec.id(), request.incompleteEvent));
    }
    effects.add(new RoutingEffect.CompleteResponse(request.spec.id()));
    return true;
  }

  private static void deliverCompleteEvents(
      List<RoutingEffect> effects, RequestState request, byte[] bytes) {
    byte[] buffer = bytes;
    if (request.incompleteEvent.length > 0) {
      buffer =
          Arrays.copyOf(request.incompleteEvent, request.incompleteEvent.length + bytes.length);
      System.arraycopy(bytes, 0, buffer, request.incompleteEvent.length, bytes.length);
    }
    int completeLength = 0;
    int events = 0;
    for (int i = 0; i + 1 < buffer.length; i++) {
      if (buffer[i] == '\n' && buffer[i + 1] == '\n') {
        events += hasData(buffer, completeLength, i) ? 1 : 0;
        completeLength = i + 2;
        i++;
      }
    }
    request.incompleteEvent = Arrays.copyOfRange(buffer, completeLength, buffer.length);
    if (completeLength == 0) {
      return;
    }
    deliverHead(effects, request);
    request.eventsDelivered += events;
    byte[] completeEvents =
        completeLength == buffer.length ? buffer : Arrays.copyOf(buffer, completeLength);
    effects.add(new RoutingEffect.AppendResponse(request.spec.id(), completeEvents));
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
