package org.cornelchute.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.cornelchute.policy.routing.Refusal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.util.concurrent.Queues;

/**
 * The response to a caller's open request: written by the routing duty, sent by the HTTP server.
 *
 * <p>Exactly one of {@link #complete}, {@link #abort} and {@link #refuse} ends it.
 */
final class Exchange {

  private static final int MAX_BUFFERED_PARTS = 8_192;

  private final Sinks.One<Head> head = Sinks.one();
  private final Sinks.Many<ByteBuf> body =
      Sinks.many().unicast().onBackpressureBuffer(Queues.<ByteBuf>get(MAX_BUFFERED_PARTS).get());

  /** Starts the response. */
  void startResponse(int status, String contentType, String manifest) {
    head.tryEmitValue(new Head(status, contentType, manifest, null, ""));
  }

  /**
   * Appends to the response body; returns false if the buffer is full, since the caller is slow.
   */
  boolean appendBody(byte[] bytes) {
    return body.tryEmitNext(Unpooled.wrappedBuffer(bytes)).isSuccess();
  }

  /** Ends the response normally. */
  void complete() {
    body.tryEmitComplete();
  }

  /** Aborts the response: the caller's connection closes before the end of the response. */
  void abort(String reason) {
    IllegalStateException cause = new IllegalStateException(reason);
    head.tryEmitError(cause);
    body.tryEmitError(cause);
  }

  /** Refuses the request. */
  void refuse(Refusal refusal, String reason) {
    head.tryEmitValue(new Head(0, "", "", refusal, reason));
    body.tryEmitComplete();
  }

  /** Returns the head of the response, or the refusal, once it is known. */
  Mono<Head> whenHead() {
    return head.asMono();
  }

  Flux<ByteBuf> body() {
    return body.asFlux();
  }

  /**
   * Head of a response, or a refusal.
   *
   * @param refusal null unless the request is refused
   */
  record Head(int status, String contentType, String manifest, Refusal refusal, String reason) {}
}
