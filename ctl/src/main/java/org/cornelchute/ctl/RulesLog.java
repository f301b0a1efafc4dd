package org.cornelchute.ctl;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
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
 * <p>One transaction writes the new version's row and moves the head row, both by compare-and-set.
 * When the answer to it is lost, the row is read: it holds this proposal's identity or another's.
 */
final class RulesLog {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_RESOLVE_ATTEMPTS = 10;
  private static final long RESOLVE_INTERVAL_MILLIS = 500;

  private final TableClient table;

  RulesLog(TableClient table) {
    this.table = table;
  }

  /** Reads the head row: version 0 if nothing was ever accepted. */
  Either<Failure, Head> readHead() {
    return readRow(ConfigurationRecord.HEAD_KEY)
        .map(r -> r.map(x -> new Head(Long.parseLong(x.value()), x.version())).orElse(Head.EMPTY));
  }

  /** Reads one accepted version. */
  Either<Failure, ConfigurationRecord> readVersion(long version) {
    Either<Failure, Optional<TableRow>> row = readRow(ConfigurationRecord.key(version));
    if (row.isLeft()) {
      return Either.left(row.getLeft());
    }
    if (row.get().isEmpty()) {
      return Either.left(
          new Failure(Failure.Code.NOT_FOUND, "there is no version " + version + " of the rules"));
    }
    return ConfigurationRecord.parse(row.get().get().value());
  }

  /** Returns the text in force, empty if nothing was ever accepted. */
  Either<Failure, String> readText(Head head) {
    return head.version() == 0
        ? Either.right("")
        : readVersion(head.version()).map(ConfigurationRecord::text);
  }

  /**
   * Appends a version above {@code head}.
   *
   * @return the accepted version; a conflict if another was first; unknown only if the service does
   *     not answer long enough to resolve it
   */
  Either<Failure, Long> append(Head head, String text, String author) {
    long next = head.version() + 1;
    String digest = Digests.sha256(text.getBytes(StandardCharsets.UTF_8));
    ConfigurationRecord record =
        new ConfigurationRecord(
            next, author, System.currentTimeMillis(), UUID.randomUUID().toString(), digest, text);
    Either<Failure, List<Long>> written =
        table
            .commit(
                List.of(
                    new TableWrite(ConfigurationRecord.key(next), 0, record.toJson()),
                    new TableWrite(ConfigurationRecord.HEAD_KEY, head.row(), Long.toString(next))))
            .block(REQUEST_TIMEOUT);
    if (written.isRight()) {
      return Either.right(next);
    }
    if (written.getLeft().code() != Failure.Code.UNKNOWN) {
      return Either.left(written.getLeft());
    }
    return resolveUnknownOutcome(next, record.proposal());
  }

  /** Finds out whether a write whose answer was lost took effect. */
  private Either<Failure, Long> resolveUnknownOutcome(long version, String proposal) {
    for (int attempt = 0; attempt < MAX_RESOLVE_ATTEMPTS; attempt++) {
      Either<Failure, ConfigurationRecord> row = readVersion(version);
      if (row.isRight()) {
        return row.get().proposal().equals(proposal)
            ? Either.right(version)
            : Either.left(new Failure(Failure.Code.CONFLICT, "another change was accepted first"));
      }
      if (row.getLeft().code() == Failure.Code.NOT_FOUND && attempt >= MAX_RESOLVE_ATTEMPTS / 2) {
        return Either.left(
            Failure.unknown(
                "the change is not accepted so far, but its write may still arrive; run"
                    + " 'cornelctl history' before trying again"));
      }
      sleep();
    }
    return Either.left(
        Failure.unknown(
            "the table service does not answer; the change may have been accepted. Run 'cornelctl"
                + " history' once it is back"));
  }

  private Either<Failure, Optional<TableRow>> readRow(String key) {
    return table.read(key).block(REQUEST_TIMEOUT);
  }

  private static void sleep() {
    try {
      Thread.sleep(RESOLVE_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The head row.
   *
   * @param version newest accepted version
   * @param row version of the row itself, for compare-and-set
   */
  record Head(long version, long row) {

    static final Head EMPTY = new Head(0, 0);
  }
}
