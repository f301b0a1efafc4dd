package org.cornelchute.policy.routing;

import java.util.Arrays;
import java.util.List;
import org.cornelchute.core.message.ServingMessage;

/**
 * Puts the frames of an answer together and hands them to the caller.
 *
 * <p>An answer counts as whole only if as many parts and bytes came as its end says. Streams are
 * delivered in whole events, so that one that is resumed elsewhere continues at an event's
 * boundary; other answers are held back up to a size, so that a retry stays invisible.
 */
final class ResponseAssembler {

  private static final int OK = 200;

  private final int maxBufferedBytes;

  ResponseAssembler(int bufferedBytes) {
    this.maxBufferedBytes = bufferedBytes;
  }

  /** Takes the beginning of an answer; returns false if it cannot continue what was delivered. */
  boolean acceptHead(long now, RequestState r, ServingMessage.AnswerHead m) {
    r.lastFrameAt = now;
    if (r.headReceived) {
      return true;
    }
    r.headReceived = true;
    r.status = m.status();
    r.contentType = m.contentType();
    r.manifest = m.generation().manifest();
    return !r.headDelivered || m.status() == OK;
  }

  /** Takes a part; one that came before or out of order is dropped. */
  void acceptPart(
      long now, List<RoutingEffect> effects, RequestState r, ServingMessage.AnswerPart m) {
    r.lastFrameAt = now;
    if (m.index() != r.nextPartIndex || !r.headReceived) {
      // A replay brings parts again that came before; a gap shows at the end by the count.
      return;
    }
    r.nextPartIndex++;
    r.receivedBytes += m.bytes().length;
    if (r.spec.stream() && r.status == OK) {
      deliverCompleteEvents(effects, r, m.bytes());
      return;
    }
    r.bufferedParts.add(m.bytes());
    r.bufferedBytes += m.bytes().length;
    if (r.bufferedBytes > maxBufferedBytes) {
      flushBuffer(effects, r);
    }
  }

  /** Takes the end of an answer; returns whether the answer is whole and has been delivered. */
  boolean acceptEnd(List<RoutingEffect> effects, RequestState r, ServingMessage.AnswerEnd m) {
    boolean whole =
        m.complete()
            && r.headReceived
            && m.parts() == r.nextPartIndex
            && m.bytes() == r.receivedBytes;
    if (!whole) {
      return false;
    }
    flushBuffer(effects, r);
    if (r.incompleteEvent.length > 0) {
      effects.add(new RoutingEffect.AppendResponse(r.spec.id(), r.incompleteEvent));
    }
    effects.add(new RoutingEffect.CompleteResponse(r.spec.id()));
    return true;
  }

  private static void deliverCompleteEvents(
      List<RoutingEffect> effects, RequestState r, byte[] bytes) {
    byte[] all = bytes;
    if (r.incompleteEvent.length > 0) {
      all = Arrays.copyOf(r.incompleteEvent, r.incompleteEvent.length + bytes.length);
      System.arraycopy(bytes, 0, all, r.incompleteEvent.length, bytes.length);
    }
    int end = 0;
    int events = 0;
    for (int i = 0; i + 1 < all.length; i++) {
      if (all[i] == '\n' && all[i + 1] == '\n') {
        events++;
        end = i + 2;
        i++;
      }
    }
    r.incompleteEvent = Arrays.copyOfRange(all, end, all.length);
    if (end == 0) {
      return;
    }
    deliverHead(effects, r);
    r.eventsDelivered += events;
    byte[] whole = end == all.length ? all : Arrays.copyOf(all, end);
    effects.add(new RoutingEffect.AppendResponse(r.spec.id(), whole));
  }

  private static void flushBuffer(List<RoutingEffect> effects, RequestState r) {
    deliverHead(effects, r);
    for (byte[] b : r.bufferedParts) {
      effects.add(new RoutingEffect.AppendResponse(r.spec.id(), b));
    }
    r.bufferedParts.clear();
    r.bufferedBytes = 0;
  }

  private static void deliverHead(List<RoutingEffect> effects, RequestState r) {
    if (!r.headDelivered) {
      r.headDelivered = true;
      effects.add(
          new RoutingEffect.StartResponse(r.spec.id(), r.status, r.contentType, r.manifest));
    }
  }
}
