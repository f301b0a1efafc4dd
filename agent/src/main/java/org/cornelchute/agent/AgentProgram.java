package org.cornelchute.agent;

import io.vavr.control.Either;
import org.cornelchute.core.cli.DaemonCommand;
import org.cornelchute.core.cli.ExitCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The program {@code cornel-agent}. */
public final class AgentProgram {

  private static final Logger LOG = LoggerFactory.getLogger(AgentProgram.class);

  private AgentProgram() {}

  /** Runs the daemon until it is told to stop. */
  public static void main(String[] args) {
    Either<Integer, AgentSettings> parsed =
        new DaemonCommand<>(
                "cornel-agent",
                "admits requests to one endpoint and brings it weights",
                AgentSettings.DEFAULTS,
                System.out,
                System.err)
            .parse(args);
    if (parsed.isLeft()) {
      System.exit(parsed.getLeft());
    }
    AgentDaemon daemon =
        new AgentDaemon(
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
                  LOG.info("agent stopped, every request ended: {}", clean);
                },
                "shutdown"));
    LOG.info("agent {} admits requests to {}", parsed.get().member().id(), parsed.get().endpoint());
  }
}
