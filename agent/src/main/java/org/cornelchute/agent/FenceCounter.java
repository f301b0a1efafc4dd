package org.cornelchute.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Hands out fencing numbers for orders to one endpoint.
 *
 * <p>Numbers come from a row of the table service, advanced by compare-and-set. While the service
 * is out, the number follows the highest that the engine itself has seen: loading must go on, and
 * the agent is the only sender of orders to its engine.
 */
final class FenceCounter {

  private static final Logger LOG = LoggerFactory.getLogger(FenceCounter.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_ATTEMPTS = 3;

  private final TableClient table;
  private final String row;
  private long lastIssued;

  FenceCounter(TableClient table, String endpoint) {
    this.table = table;
    this.row = "fence-" + endpoint;
  }

  /** Returns the next number, above {@code seen} and above every number handed out before. */
  Mono<Long> next(long seen) {
    return readAndAdvance(seen, MAX_ATTEMPTS)
        .timeout(TIMEOUT)
        .onErrorResume(
            e -> {
              LOG.warn("table service is out; fencing number follows the engine's own");
              return Mono.just(Math.max(lastIssued, seen) + 1);
            })
        .doOnNext(n -> lastIssued = n);
  }

  private Mono<Long> readAndAdvance(long seen, int tries) {
    return table.read(row).flatMap(r -> advance(r, seen, tries));
  }

  private Mono<Long> advance(Either<Failure, Optional<TableRow>> read, long seen, int tries) {
    if (read.isLeft()) {
      return Mono.error(new IllegalStateException(read.getLeft().message()));
    }
    long kept = read.get().map(r -> Long.parseLong(r.value())).orElse(0L);
    long version = read.get().map(TableRow::version).orElse(0L);
    long next = Math.max(Math.max(kept, seen), lastIssued) + 1;
    return table
        .write(new TableWrite(row, version, Long.toString(next)))
        .flatMap(
            w -> {
              if (w.isRight()) {
                return Mono.just(next);
              }
              return tries > 1
                  ? readAndAdvance(seen, tries - 1)
                  : Mono.error(new IllegalStateException(w.getLeft().message()));
            });
  }
}
