package org.cornelchute.entry;

import io.vavr.control.Either;
import org.cornelchute.core.cli.DaemonCommand;
import org.cornelchute.core.cli.DaemonRunner;

/** Main class of the program {@code cornel-entry}. */
public final class EntryProgram {

  private EntryProgram() {}

  /** Runs the daemon until it is stopped. */
  public static void main(String[] args) {
    Either<Integer, EntrySettings> parsed =
        new DaemonCommand<>(
                "cornel-entry",
                "answers callers and routes their requests to agents",
                EntrySettings.DEFAULTS,
                System.out,
                System.err)
            .parse(args);
    if (parsed.isLeft()) {
      System.exit(parsed.getLeft());
    }
    long boot = System.currentTimeMillis();
    DaemonRunner.run(
        "cornel-entry",
        new EntryDaemon(parsed.get(), boot, DaemonRunner::halt, DaemonRunner::stop));
  }
}
