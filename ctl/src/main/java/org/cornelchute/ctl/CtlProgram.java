package org.cornelchute.ctl;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.net.platform.TableClient;

/** The program {@code cornelctl}. */
public final class CtlProgram {

  private static final List<Command> COMMANDS =
      List.of(
          new FileCommands.Check(),
          new FileCommands.Diff(),
          new ApplyCommand(),
          new RulesLogCommands.Show(),
          new RulesLogCommands.History(),
          new RulesLogCommands.Explain(),
          new DomainCommand(true),
          new DomainCommand(false),
          new StatusCommand(false),
          new StatusCommand(true),
          new FairnessCommand(),
          new DigestCommand());

  private static final String EXAMPLES =
      """
      Examples:
        cornelctl check fleet.rules
        cornelctl apply fleet.rules --by night-shift
        cornelctl out cuenca-centro --by night-shift
        cornelctl status --member http://10.0.0.7:4101 --json
      Exit codes: 0 done, 1 failed, 2 wrong input, 3 another writer was first, 4 outcome unknown
      """;

  private CtlProgram() {}

  /** Runs one command and ends. */
  public static void main(String[] args) {
    System.exit(run(System.out, System.err, args));
  }

  /** Runs one command and returns its exit code. */
  static int run(PrintStream out, PrintStream err, String... args) {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help and end").forHelp();
    parser.accepts("version", "print the version and end").forHelp();
    parser.accepts("json", "print JSON and nothing else on standard output");
    final OptionSpec<String> platform =
        parser.accepts("platform").withRequiredArg().defaultsTo("http://127.0.0.1:4000");
    final OptionSpec<String> member =
        parser.accepts("member").withRequiredArg().defaultsTo("http://127.0.0.1:4101");
    final OptionSpec<String> by =
        parser.accepts("by").withRequiredArg().defaultsTo(System.getProperty("user.name"));
    final OptionSpec<Integer> wait =
        parser.accepts("wait").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    OptionSet given;
    try {
      given = parser.parse(args);
    } catch (OptionException e) {
      err.println("cornelctl: " + e.getMessage() + "; see cornelctl --help");
      return ExitCode.USAGE;
    }
    if (given.has("version")) {
      out.println("cornelctl " + Version.PRODUCT);
      return ExitCode.OK;
    }
    List<String> words = new ArrayList<>();
    given.nonOptionArguments().forEach(w -> words.add(w.toString()));
    if (given.has("help")) {
      printHelp(out);
      return ExitCode.OK;
    }
    if (words.isEmpty()) {
      printHelp(err);
      return ExitCode.USAGE;
    }
    CommandContext context =
        new CommandContext(
            new RulesLog(new TableClient(given.valueOf(platform))),
            new MembersClient(given.valueOf(member)),
            given.has("json"),
            given.valueOf(by),
            given.valueOf(wait),
            out,
            err);
    return dispatch(context, words);
  }

  private static int dispatch(CommandContext context, List<String> words) {
    List<String> arguments = words.subList(1, words.size());
    for (Command c : COMMANDS) {
      if (!c.name().equals(words.get(0))) {
        continue;
      }
      int required = c.arguments().isEmpty() || c.arguments().startsWith("[") ? 0 : 1;
      int most = c.arguments().isEmpty() ? 0 : 1;
      if (arguments.size() < required || arguments.size() > most) {
        context.err().println("cornelctl: write: cornelctl " + c.name() + " " + c.arguments());
        return ExitCode.USAGE;
      }
      return c.run(context, arguments);
    }
    context.err().println("cornelctl: no command '" + words.get(0) + "'; see cornelctl --help");
    return ExitCode.USAGE;
  }

  private static void printHelp(PrintStream out) {
    out.println("cornelctl - change and inspect the rules of both fleets\n");
    out.println("cornelctl COMMAND [ARGUMENT] [options]\n");
    for (Command c : COMMANDS) {
      out.printf("  %-18s %s%n", c.name() + " " + c.arguments(), c.summary());
    }
    out.println(
        """

        Options:
          --platform URL   the platform's table service   [http://127.0.0.1:4000]
          --member URL     operator port of any member    [http://127.0.0.1:4101]
          --by NAME        who makes the change           [the login name]
          --wait SECONDS   how long apply waits until the change is in force   [10]
          --json           print JSON and nothing else on standard output
          --help, --version
        """);
    out.print(EXAMPLES);
  }
}
