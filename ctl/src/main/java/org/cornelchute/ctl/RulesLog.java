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
 * <p>One transaction writes the row of the new version and updates the head row, both by
 * compare-and-set. If the answer is lost, the row of the version is read back: its proposal id
 * shows whether this change or another one was accepted.
 */
final class RulesLog {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
  private static final int MAX_RESOLVE_ATTEMPTS = 10;
  private static final long RESOLVE_INTERVAL_MILLIS = 500;

  private final TableClient table;

  RulesLog(TableClient table) {
    this.table = table;
  }

  /** Reads the head row; its version is 0 if no rules were accepted yet. */
  Either<Failure, Head> readHead() {
    return readRow(ConfigurationRecord.HEAD_KEY)
        .map(
            result ->
                result
                    .map(row -> new Head(Long.parseLong(row.value()), row.version()))
                    .orElse(Head.EMPTY));
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
    return ConfigurationRecord.parse(row.get().get().value());
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
   *     first, {@code UNKNOWN} if the answer was lost and reading the row did not show the outcome
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

  /** Determines from the row of a version whether a write with a lost answer took effect. */
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
                "the change is not accepted yet, but its write may still take effect; run"
                    + " 'cornelctl history' before trying again"));
      }
      sleep();
    }
    return Either.left(
        Failure.unknown(
            "the table service does not answer, and the change may have been accepted; run"
                + " 'cornelctl history' when the service is available again"));
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
   * @param version newest accepted version of the rules
   * @param row version of the row, for compare-and-set
   */
  record Head(long version, long row) {

    static final Head EMPTY = new Head(0, 0);
  }
}
