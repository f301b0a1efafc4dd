package org.cornelchute.net.util;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Reads bodies of HTTP responses, which a faulty server may send without end. */
public final class ResponseBodies {

  private ResponseBodies() {}

  /**
   * Returns the parts of a body as they arrive.
   *
   * @param maxBytes size of the body beyond which the result fails with an {@link IOException}, so
   *     that the connection is closed
   */
  public static Flux<byte[]> parts(ByteBufFlux body, long maxBytes) {
    return Flux.defer(
        () -> {
          AtomicLong received = new AtomicLong();
          return body.asByteArray()
              .handle(
                  (part, sink) -> {
                    if (received.addAndGet(part.length) > maxBytes) {
                      sink.error(new IOException("response body exceeds " + maxBytes + " bytes"));
                    } else {
                      sink.next(part);
                    }
                  });
        });
  }

  /**
   * Returns a body in UTF-8, empty if there is none.
   *
   * @param maxBytes size of the body beyond which the result fails, as in {@link #parts}
   */
  public static Mono<String> text(ByteBufFlux body, long maxBytes) {
    return parts(body, maxBytes)
        .collect(ByteArrayOutputStream::new, ByteArrayOutputStream::writeBytes)
        .map(bytes -> bytes.toString(StandardCharsets.UTF_8));
  }
}
