package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.net.platform.TableRow;
import org.cornelchute.net.platform.TableWrite;
import org.cornelchute.policy.weights.Digests;

/**
 * The append-only log of accepted rules in the table service.
 *
 * <p>One transaction writes the row of the new version and updates the head row, both by
 * compare-and-set. If the answer is lost, the row of the version is read back: its proposal id
 * shows whether this change or another one was accepted. If the row does not exist, the same
 * transaction is sent again, which is safe because at most one of the two can take effect.
 *
 * <p>Calls without an answer are repeated until the time limit of this instance has passed.
 */
final class RulesLog {

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

  private final TableClient table;
  private final Duration timeout;
  private final long startNanos;

  /**
   * Creates a log on a table service.
   *
   * @param table client of the table service
   * @param timeout time from now after which a call without an answer is not repeated
   */
  RulesLog(TableClient table, Duration timeout) {
    this.table = table;
    this.timeout = timeout;
    this.startNanos = System.nanoTime();
  }

  /** Reads the head row; its version is 0 if no rules were accepted yet. */
  Either<Failure, Head> readHead() {
    return readRow(ConfigurationRecord.HEAD_KEY)
        .flatMap(
            result -> result.map(RulesLog::parseHead).orElseGet(() -> Either.right(Head.EMPTY)));
  }

  private static Either<Failure, Head> parseHead(TableRow row) {
    return ConfigurationRecord.parseHead(row.value())
        .map(version -> Either.<Failure, Head>right(new Head(version, row.version())))
        .orElseGet(
            () ->
                Either.left(
                    Failure.invalid(
                        "malformed row '"
                            + ConfigurationRecord.HEAD_KEY
                            + "' in the rules log; accepted: a version number")));
  }

  /** Reads an accepted version. */
  Either<Failure, ConfigurationRecord> readVersion(long version) {
    Either<Failure, Optional<TableRow>> row = readRow(ConfigurationRecord.key(version));
    if (row.isLeft()) {
      return Either.left(row.getLeft());
    }
    if (row.get().isEmpty()) {
      return Either.left(
          new Failure(Failure.Code.NOT_FOUND, "there is no version " + version + " of the rules"));
    }
    return ConfigurationRecord.parse(version, row.get().get().value());
  }

  /** Reads the text of the newest accepted version, empty if no rules were accepted yet. */
  Either<Failure, String> readText(Head head) {
    return head.version() == 0
        ? Either.right("")
        : readVersion(head.version()).map(ConfigurationRecord::text);
  }

  /**
   * Appends a version after {@code head}.
   *
   * @return the accepted version, or a failure: {@code CONFLICT} if another change was accepted
   *     first, {@code UNKNOWN} if the answer was lost and the time limit passed before the outcome
   *     was known
   */
  Either<Failure, Long> append(Head head, String text, String author) {
    long next = head.version() + 1;
    String digest = Digests.sha256(text.getBytes(StandardCharsets.UTF_8));
    ConfigurationRecord record =
        new ConfigurationRecord(
            next, author, System.currentTimeMillis(), UUID.randomUUID().toString(), digest, text);
    List<TableWrite> writes =
        List.of(
            new TableWrite(ConfigurationRecord.key(next), 0, record.toJson()),
            new TableWrite(ConfigurationRecord.HEAD_KEY, head.row(), Long.toString(next)));
    return commit(record, writes);
  }

  /** Sends the writes of a version until their outcome is known or the time limit has passed. */
  private Either<Failure, Long> commit(ConfigurationRecord record, List<TableWrite> writes) {
    boolean anyOutcomeUnknown = false;
    do {
      Either<Failure, List<Long>> written = table.commit(writes).block();
      if (written.isRight()) {
        return Either.right(record.version());
      }
      Failure failure = written.getLeft();
      if (failure.code() == Failure.Code.UNAVAILABLE && !anyOutcomeUnknown) {
        return Either.left(failure);
      }
      Either<Failure, ConfigurationRecord> row = readVersion(record.version());
      if (row.isRight()) {
        return row.get().proposal().equals(record.proposal())
            ? Either.right(record.version())
            : Either.left(new Failure(Failure.Code.CONFLICT, "another change was accepted first"));
      }
      if (failure.code() == Failure.Code.CONFLICT
          && row.getLeft().code() == Failure.Code.NOT_FOUND) {
        return Either.left(failure);
      }
      anyOutcomeUnknown = true;
    } while (pauseBeforeRetry());
    return Either.left(
        Failure.unknown(
            "the table service did not confirm the change "
                + withinElapsedTime()
                + ", and it may have been accepted or may still be; run 'cornelctl history' before"
                + " trying again"));
  }

  /** Reads a row; repeats the read while it gets no answer. */
  private Either<Failure, Optional<TableRow>> readRow(String key) {
    int attempts = 0;
    Either<Failure, Optional<TableRow>> row;
    do {
      row = table.read(key).block();
      attempts++;
      if (row.isRight() || row.getLeft().code() != Failure.Code.UNKNOWN) {
        return row;
      }
    } while (pauseBeforeRetry());
    return Either.left(
        Failure.unavailable(
            row.getLeft().message() + "; reads sent " + withinElapsedTime() + ": " + attempts));
  }

  /** Waits before a call is repeated and returns whether it may be. */
  private boolean pauseBeforeRetry() {
    if (elapsed().plus(RETRY_INTERVAL).compareTo(timeout) >= 0) {
      return false;
    }
    try {
      Thread.sleep(RETRY_INTERVAL.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private String withinElapsedTime() {
    return String.format(Locale.ROOT, "within %.1f s (see --timeout)", elapsed().toMillis() / 1e3);
  }

  private Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  /**
   * The head row.
   *
   * @param version newest accepted version of the rules
   * @param row version of the row, for compare-and-set
   */
  record Head(long version, long row) {

    static final Head EMPTY = new Head(0, 0);
  }
}
