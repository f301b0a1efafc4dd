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
  WireExchange exchange;
  int attempt;
  HttpResponse responseHead;
  ByteBuf responseBody = Unpooled.EMPTY_BUFFER;

  /** Whether the response to the current attempt is forwarded while it arrives. */
  boolean streaming;

  /** Whether the head of the response was sent to the caller, by any attempt. */
  boolean responseStarted;

  OpenCall(
      long number,
      CallerConnection callerConnection,
      FullHttpRequest request,
      long lastEventId,
      long now) {
    this.number = number;
    this.callerConnection = callerConnection;
    this.request = request;
    this.arrivedAt = now;
    this.eventDecoder = new EventStreamDecoder(lastEventId);
  }

  /** Starts the next attempt and discards what was received for the previous one. */
  void startAttempt(int nextAttempt) {
    attempt = nextAttempt;
    responseHead = null;
    streaming = false;
    responseBody.release();
    responseBody = Unpooled.EMPTY_BUFFER;
    eventDecoder.discardPartialEvent();
  }

  void release() {
    responseBody.release();
    responseBody = Unpooled.EMPTY_BUFFER;
    request.release();
  }
}
