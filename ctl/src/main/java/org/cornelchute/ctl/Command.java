package org.cornelchute.ctl;

import java.util.List;

/** One subcommand of {@code cornelctl}. */
interface Command {

  /** Name as typed. */
  String name();

  /** Arguments as shown in the help, or empty. */
  String arguments();

  /** One line for the help. */
  String summary();

  /** Runs the command and returns its exit code. */
  int run(CommandContext context, List<String> arguments);
}
