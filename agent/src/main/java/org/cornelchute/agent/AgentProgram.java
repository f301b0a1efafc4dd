package org.cornelchute.agent;

import io.vavr.control.Either;
import org.cornelchute.core.cli.DaemonCommand;
import org.cornelchute.core.cli.DaemonRunner;

/** The program {@code cornel-agent}. */
public final class AgentProgram {

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
    long boot = System.currentTimeMillis();
    DaemonRunner.run(
        "cornel-agent",
        new AgentDaemon(parsed.get(), boot, DaemonRunner::halt, DaemonRunner::stop));
  }
}
