package org.cornelchute.entry.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.cornelchute.net.wire.WireExchange;
import org.cornelchute.policy.forward.EventStreamDecoder;

/** A call in progress: its request and the response to its current attempt. */
final class OpenCall {

  final long number;
  final CallerConnection callerConnection;
  final FullHttpRequest request;
  final EventStreamDecoder eventDecoder;
  final long arrivedAt;
  private final ResponseBudget responseBudget;
  WireExchange exchange;
  int attempt;
  HttpResponse responseHead;
  ByteBuf responseBody = Unpooled.EMPTY_BUFFER;

  /** Part of the budget for the body of the response to the current attempt. */
  private int reservedBytes;

  /** Whether the response to the current attempt is forwarded while it arrives. */
  boolean streaming;

  /** Whether the head of the response was sent to the caller, by any attempt. */
  boolean responseStarted;

  OpenCall(
      long number,
      CallerConnection callerConnection,
      FullHttpRequest request,
      long lastEventId,
      ResponseBudget responseBudget,
      long now) {
    this.number = number;
    this.callerConnection = callerConnection;
    this.request = request;
    this.responseBudget = responseBudget;
    this.arrivedAt = now;
    this.eventDecoder = new EventStreamDecoder(lastEventId);
  }

  /** Starts the next attempt and discards what was received for the previous one. */
  void startAttempt(int nextAttempt) {
    attempt = nextAttempt;
    responseHead = null;
    streaming = false;
    releaseBody();
    eventDecoder.discardPartialEvent();
  }

  /** Appends to the buffered body, unless the budget is exhausted. */
  boolean appendToBody(ByteBuf bytes) {
    int size = bytes.readableBytes();
    if (!responseBudget.tryReserve(size)) {
      return false;
    }
    reservedBytes += size;
    if (responseBody == Unpooled.EMPTY_BUFFER) {
      responseBody = Unpooled.buffer(size);
    }
    responseBody.writeBytes(bytes);
    return true;
  }

  /** Returns what was reserved for the body, which the caller of this method must release. */
  int takeReservedBytes() {
    int taken = reservedBytes;
    reservedBytes = 0;
    return taken;
  }

  void release() {
    releaseBody();
    request.release();
  }

  private void releaseBody() {
    responseBody.release();
    responseBody = Unpooled.EMPTY_BUFFER;
    responseBudget.release(takeReservedBytes());
  }
}
