package org.cornelchute.agent;

import io.vavr.control.Either;
import org.cornelchute.core.cli.DaemonCommand;
import org.cornelchute.core.cli.DaemonRunner;

/** Main class of {@code cornel-agent}. */
public final class AgentProgram {

  private AgentProgram() {}

  /** Runs the daemon until the process is terminated or an operator stops it. */
  public static void main(String[] args) {
    Either<Integer, AgentSettings> parsed =
        new DaemonCommand<>(
                "cornel-agent",
                "admits requests to one endpoint and distributes its weights",
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
