package org.cornelchute.entry.direct;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.cornelchute.net.wire.WireExchange;
import org.cornelchute.policy.forward.EventStreamDecoder;

/** The bytes of one call and of the answer that comes for it. */
final class LiveCall {

  final long number;
  final CallerConnection caller;
  final FullHttpRequest request;
  final EventStreamDecoder events;
  final long arrived;
  WireExchange exchange;
  int attempt;
  HttpResponse head;
  ByteBuf body = Unpooled.EMPTY_BUFFER;

  /** Whether the attempt at hand is passed on as it comes. */
  boolean passing;

  /** Whether the caller has the beginning of the answer. */
  boolean begun;

  LiveCall(
      long number, CallerConnection caller, FullHttpRequest request, long lastEvent, long now) {
    this.number = number;
    this.caller = caller;
    this.request = request;
    this.arrived = now;
    this.events = new EventStreamDecoder(lastEvent);
  }

  /** Forgets what came of the attempt before. */
  void restart(int next) {
    attempt = next;
    head = null;
    passing = false;
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    events.discardPartialEvent();
  }

  void release() {
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    request.release();
  }
}
