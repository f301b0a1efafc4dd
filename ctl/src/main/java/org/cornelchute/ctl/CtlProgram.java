package org.cornelchute.ctl;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.net.platform.TableClient;

/** Main class of {@code cornelctl}, the command line for operators. */
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
          new WhereCommand(),
          new DigestCommand());

  private static final String EXAMPLES =
      """
      Examples:
        cornelctl check fleet.rules
        cornelctl apply fleet.rules --by night-shift
        cornelctl out cuenca-centro --by night-shift
        cornelctl status --member http://10.0.0.7:4101 --json
        cornelctl where api.example/v1/draft --workspace red --member http://10.0.0.8:7715
      Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict, 4 outcome unknown
      """;

  private CtlProgram() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(run(System.out, System.err, args));
  }

  /** Runs one command and returns its exit code. */
  static int run(PrintStream out, PrintStream err, String... args) {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help and exit").forHelp();
    parser.accepts("version", "print the version and exit").forHelp();
    parser.accepts("json", "print JSON and nothing else on standard output");
    final OptionSpec<String> platform =
        parser.accepts("platform").withRequiredArg().defaultsTo("http://127.0.0.1:4000");
    final OptionSpec<String> member =
        parser.accepts("member").withRequiredArg().defaultsTo("http://127.0.0.1:4101");
    final OptionSpec<String> by =
        parser.accepts("by").withRequiredArg().defaultsTo(System.getProperty("user.name"));
    final OptionSpec<Integer> wait =
        parser.accepts("wait").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    final OptionSpec<Integer> timeout =
        parser.accepts("timeout").withRequiredArg().ofType(Integer.class).defaultsTo(10);
    final OptionSpec<String> workspace =
        parser.accepts("workspace").withRequiredArg().defaultsTo("");
    final OptionSpec<String> tokens = parser.accepts("tokens").withRequiredArg().defaultsTo("");
    final OptionSpec<String> parts = parser.accepts("parts").withRequiredArg().defaultsTo("");
    final OptionSpec<String> deadline = parser.accepts("deadline").withRequiredArg().defaultsTo("");
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      err.println("cornelctl: " + e.getMessage() + "; see cornelctl --help");
      return ExitCode.USAGE;
    }
    if (options.has("version")) {
      out.println("cornelctl " + Version.PRODUCT);
      return ExitCode.OK;
    }
    List<String> operands = new ArrayList<>();
    options.nonOptionArguments().forEach(operand -> operands.add(operand.toString()));
    if (options.has("help")) {
      printHelp(out);
      return ExitCode.OK;
    }
    if (operands.isEmpty()) {
      printHelp(err);
      return ExitCode.USAGE;
    }
    CommandContext context =
        new CommandContext(
            new RulesLog(
                new TableClient(options.valueOf(platform)),
                Duration.ofSeconds(options.valueOf(timeout))),
            new MembersClient(options.valueOf(member)),
            new CallDescription(
                options.valueOf(workspace),
                options.valueOf(tokens),
                options.valueOf(parts),
                options.valueOf(deadline)),
            options.has("json"),
            options.valueOf(by),
            options.valueOf(wait),
            out,
            err);
    return dispatch(context, operands);
  }

  private static int dispatch(CommandContext context, List<String> operands) {
    List<String> arguments = operands.subList(1, operands.size());
    for (Command command : COMMANDS) {
      if (!command.name().equals(operands.get(0))) {
        continue;
      }
      int minArguments =
          command.arguments().isEmpty() || command.arguments().startsWith("[") ? 0 : 1;
      int maxArguments = command.arguments().isEmpty() ? 0 : 1;
      if (arguments.size() < minArguments || arguments.size() > maxArguments) {
        context
            .err()
            .println("cornelctl: usage: cornelctl " + command.name() + " " + command.arguments());
        return ExitCode.USAGE;
      }
      return command.run(context, arguments);
    }
    context
        .err()
        .println("cornelctl: unknown command '" + operands.get(0) + "'; see cornelctl --help");
    return ExitCode.USAGE;
  }

  private static void printHelp(PrintStream out) {
    out.println("cornelctl - inspect and change the fleet rules\n");
    out.println("cornelctl COMMAND [ARGUMENT] [options]\n");
    for (Command command : COMMANDS) {
      out.printf("  %-18s %s%n", command.name() + " " + command.arguments(), command.summary());
    }
    out.println(
        """

        Options:
          --platform URL   table service of the platform   [http://127.0.0.1:4000]
          --member URL     operator port of any member     [http://127.0.0.1:4101]
          --by NAME        author recorded with a change   [login name]
          --wait SECONDS   how long apply, out and in wait until the change is in force   [10]
          --timeout SECONDS
                           how long calls without an answer from the table service are
                           repeated   [10]
          --workspace NAME, --tokens PROMPT,OUTPUT, --parts ID:TOKENS,..., --deadline MILLIS
                           the call that where explains
          --json           print JSON and nothing else on standard output
          --help, --version
        """);
    out.print(EXAMPLES);
  }
}
