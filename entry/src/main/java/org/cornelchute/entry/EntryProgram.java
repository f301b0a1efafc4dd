package org.cornelchute.entry;

import io.vavr.control.Either;
import org.cornelchute.core.cli.DaemonCommand;
import org.cornelchute.core.cli.ExitCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The program {@code cornel-entry}. */
public final class EntryProgram {

  private static final Logger LOG = LoggerFactory.getLogger(EntryProgram.class);

  private EntryProgram() {}

  /** Runs the daemon until it is told to stop. */
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
    EntryDaemon daemon =
        new EntryDaemon(
            parsed.get(),
            System.currentTimeMillis(),
            (duty, cause) -> Runtime.getRuntime().halt(ExitCode.FAILED),
            () -> new Thread(() -> System.exit(ExitCode.OK), "leave").start());
    daemon.start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  boolean clean = daemon.leave();
                  daemon.close();
                  LOG.info("entry stopped, every request ended: {}", clean);
                },
                "shutdown"));
    LOG.info(
        "entry {} serves callers on port {}",
        parsed.get().member().id(),
        parsed.get().callerPort());
  }
}
