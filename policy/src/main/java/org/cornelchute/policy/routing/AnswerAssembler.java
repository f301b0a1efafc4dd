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
final class AnswerAssembler {

  private static final int OK = 200;

  private final int bufferedBytes;

  AnswerAssembler(int bufferedBytes) {
    this.bufferedBytes = bufferedBytes;
  }

  /** Takes the beginning of an answer; returns false if it cannot continue what was delivered. */
  boolean head(long now, Live r, ServingMessage.AnswerHead m) {
    r.lastFrame = now;
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
  void part(long now, List<RoutingEffect> effects, Live r, ServingMessage.AnswerPart m) {
    r.lastFrame = now;
    if (m.index() != r.nextPart || !r.headReceived) {
      // A replay brings parts again that came before; a gap shows at the end by the count.
      return;
    }
    r.nextPart++;
    r.receivedBytes += m.bytes().length;
    if (r.spec.stream() && r.status == OK) {
      deliverEvents(effects, r, m.bytes());
      return;
    }
    r.held.add(m.bytes());
    r.heldBytes += m.bytes().length;
    if (r.heldBytes > bufferedBytes) {
      release(effects, r);
    }
  }

  /** Takes the end of an answer; returns whether the answer is whole and has been delivered. */
  boolean end(List<RoutingEffect> effects, Live r, ServingMessage.AnswerEnd m) {
    boolean whole =
        m.whole() && r.headReceived && m.parts() == r.nextPart && m.bytes() == r.receivedBytes;
    if (!whole) {
      return false;
    }
    release(effects, r);
    if (r.tail.length > 0) {
      effects.add(new RoutingEffect.Part(r.spec.id(), r.tail));
    }
    effects.add(new RoutingEffect.Finish(r.spec.id()));
    return true;
  }

  private static void deliverEvents(List<RoutingEffect> effects, Live r, byte[] bytes) {
    byte[] all = bytes;
    if (r.tail.length > 0) {
      all = Arrays.copyOf(r.tail, r.tail.length + bytes.length);
      System.arraycopy(bytes, 0, all, r.tail.length, bytes.length);
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
    r.tail = Arrays.copyOfRange(all, end, all.length);
    if (end == 0) {
      return;
    }
    deliverHead(effects, r);
    r.eventsDelivered += events;
    byte[] whole = end == all.length ? all : Arrays.copyOf(all, end);
    effects.add(new RoutingEffect.Part(r.spec.id(), whole));
  }

  private static void release(List<RoutingEffect> effects, Live r) {
    deliverHead(effects, r);
    for (byte[] b : r.held) {
      effects.add(new RoutingEffect.Part(r.spec.id(), b));
    }
    r.held.clear();
    r.heldBytes = 0;
  }

  private static void deliverHead(List<RoutingEffect> effects, Live r) {
    if (!r.headDelivered) {
      r.headDelivered = true;
      effects.add(new RoutingEffect.Head(r.spec.id(), r.status, r.contentType, r.manifest));
    }
  }
}
