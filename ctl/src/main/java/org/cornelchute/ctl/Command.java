package org.cornelchute.ctl;

import java.util.List;

/** One subcommand of {@code cornelctl}. */
interface Command {

  /** Returns the name as typed on the command line. */
  String name();

  /** Returns the argument as shown in the help, in brackets if optional; empty if there is none. */
  String arguments();

  /** Returns the one-line description for the help. */
  String summary();

  /** Runs the command and returns its exit code. */
  int run(CommandContext context, List<String> arguments);
}
