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
 * Issues increasing fencing numbers for load commands to one endpoint.
 *
 * <p>The last number is stored in a row of the table service and advanced by compare-and-set. While
 * the service is unavailable, the next number is derived from the highest that the engine has
 * accepted: loading must remain possible, and no other process sends load commands to the engine.
 */
final class FenceCounter {

  private static final Logger LOG = LoggerFactory.getLogger(FenceCounter.class);
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_ATTEMPTS = 3;

  private final TableClient table;
  private final String row;
  private long lastIssued;

  FenceCounter(TableClient table, String agentId) {
    this.table = table;
    this.row = "fence-" + agentId;
  }

  /**
   * Returns the next number, above every number that this instance has issued.
   *
   * @param accepted highest number that the engine has accepted; the result is above it
   */
  Mono<Long> next(long accepted) {
    return readAndAdvance(accepted, MAX_ATTEMPTS)
        .timeout(TIMEOUT)
        .onErrorResume(
            e -> {
              LOG.warn(
                  "table service did not store the next fencing number; deriving it from the last"
                      + " number that the engine accepted");
              return Mono.just(Math.max(lastIssued, accepted) + 1);
            })
        .doOnNext(number -> lastIssued = number);
  }

  private Mono<Long> readAndAdvance(long accepted, int attemptsLeft) {
    return table.read(row).flatMap(read -> advance(read, accepted, attemptsLeft));
  }

  private Mono<Long> advance(
      Either<Failure, Optional<TableRow>> read, long accepted, int attemptsLeft) {
    if (read.isLeft()) {
      return Mono.error(new IllegalStateException(read.getLeft().message()));
    }
    long stored = read.get().map(r -> Long.parseLong(r.value())).orElse(0L);
    long version = read.get().map(TableRow::version).orElse(0L);
    long next = Math.max(Math.max(stored, accepted), lastIssued) + 1;
    return table
        .write(new TableWrite(row, version, Long.toString(next)))
        .flatMap(
            write -> {
              if (write.isRight()) {
                return Mono.just(next);
              }
              return attemptsLeft > 1
                  ? readAndAdvance(accepted, attemptsLeft - 1)
                  : Mono.error(new IllegalStateException(write.getLeft().message()));
            });
  }
}
