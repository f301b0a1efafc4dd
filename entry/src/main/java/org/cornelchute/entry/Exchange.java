package org.cornelchute.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.cornelchute.policy.routing.Refusal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.util.concurrent.Queues;

/**
 * One caller's open request: the routing duty writes, the network reads.
 *
 * <p>Exactly one of {@link #complete}, {@link #abort} and {@link #refuse} ends it.
 */
final class Exchange {

  private static final int MAX_BUFFERED_PARTS = 8_192;

  private final Sinks.One<Head> head = Sinks.one();
  private final Sinks.Many<ByteBuf> body =
      Sinks.many().unicast().onBackpressureBuffer(Queues.<ByteBuf>get(MAX_BUFFERED_PARTS).get());

  /** Begins the answer. */
  void head(int status, String contentType, String manifest) {
    head.tryEmitValue(new Head(status, contentType, manifest, null, ""));
  }

  /** Continues the answer; returns false if the caller reads too slowly to go on. */
  boolean appendBody(byte[] bytes) {
    return body.tryEmitNext(Unpooled.wrappedBuffer(bytes)).isSuccess();
  }

  /** Ends the answer normally. */
  void complete() {
    body.tryEmitComplete();
  }

  /** Breaks the answer off, so that the caller's connection ends without the answer's end. */
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

  Mono<Head> whenHead() {
    return head.asMono();
  }

  Flux<ByteBuf> body() {
    return body.asFlux();
  }

  /**
   * Beginning of an answer, or a refusal.
   *
   * @param refusal null for an answer
   */
  record Head(int status, String contentType, String manifest, Refusal refusal, String reason) {}
}
