package org.cornelchute.entry.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.cornelchute.net.wire.WireExchange;
import org.cornelchute.policy.forward.EventStreamDecoder;

/** The bytes of one call and of the answer that comes for it. */
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

  /** Whether the attempt at hand is passed on as it comes. */
  boolean streaming;

  /** Whether the caller has the beginning of the answer. */
  boolean responseStarted;

  OpenCall(
      long number, CallerConnection caller, FullHttpRequest request, long lastEvent, long now) {
    this.number = number;
    this.callerConnection = caller;
    this.request = request;
    this.arrivedAt = now;
    this.eventDecoder = new EventStreamDecoder(lastEvent);
  }

  /** Forgets what came of the attempt before. */
  void startAttempt(int next) {
    attempt = next;
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
