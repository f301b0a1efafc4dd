package org.cornelchute.entry.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import org.cornelchute.net.wire.WireExchange;
import org.cornelchute.policy.forward.EventStreamDecoder;

/** One attempt of an open call: its exchange with an endpoint, and what was received of it. */
final class OpenAttempt {

  /** Number of the attempt within its call, from 1. */
  final int number;

  /** Whether the response continues, or may continue, that of another attempt. */
  final boolean resumed;

  final EventStreamDecoder eventDecoder;
  private final ResponseBudget responseBudget;

  /** Exchange with the endpoint, null before it is sent. */
  WireExchange exchange;

  /** Head of the response, null until it is received. */
  HttpResponse head;

  /** Whether the response is forwarded while it arrives. */
  boolean streaming;

  private ByteBuf body = Unpooled.EMPTY_BUFFER;

  /** Part of the budget for the body. */
  private int reservedBytes;

  /**
   * Creates an attempt.
   *
   * @param lastEventId id of the last event that the caller has, negative if none
   * @param resumed whether the response continues, or may continue, that of another attempt
   */
  OpenAttempt(int number, long lastEventId, boolean resumed, ResponseBudget responseBudget) {
    this.number = number;
    this.resumed = resumed;
    this.eventDecoder = new EventStreamDecoder(lastEventId, resumed);
    this.responseBudget = responseBudget;
  }

  /** Returns the body received so far; empty for a response that is forwarded. */
  ByteBuf body() {
    return body;
  }

  /** Appends to the buffered body, unless the budget is exhausted. */
  boolean appendToBody(ByteBuf bytes) {
    int size = bytes.readableBytes();
    if (!responseBudget.tryReserve(size)) {
      return false;
    }
    reservedBytes += size;
    if (body == Unpooled.EMPTY_BUFFER) {
      body = Unpooled.buffer(size);
    }
    body.writeBytes(bytes);
    return true;
  }

  /** Returns what was reserved for the body, which the caller of this method must release. */
  int takeReservedBytes() {
    int taken = reservedBytes;
    reservedBytes = 0;
    return taken;
  }

  /** Cancels the exchange if it has not ended, and discards the body. */
  void release() {
    if (exchange != null) {
      exchange.cancel();
      exchange = null;
    }
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    responseBudget.release(takeReservedBytes());
  }
}
