package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cli.ExitCode;

/** The program {@code bench}: runs one named measurement and prints its figures. */
public final class BenchProgram {

  private static final List<Bench> BENCHES =
      List.of(
          new OverheadBench(),
          new WeightsBench(),
          new ServingBench(),
          new ConfigBench(),
          new DomainsBench(),
          new ControlBench(),
          new StateBench());

  private BenchProgram() {}

  /** Runs the measurement named by the first argument. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help and end").forHelp();
    parser.accepts("version", "print the version and end").forHelp();
    parser.accepts("json", "print one JSON document and nothing else on standard output");
    final OptionSpec<Integer> replicas = integerOption(parser, "replicas", 24);
    final OptionSpec<Integer> regions = integerOption(parser, "regions", 1);
    final OptionSpec<Integer> megabytes = integerOption(parser, "megabytes", 8);
    final OptionSpec<Integer> seconds = integerOption(parser, "seconds", 10);
    final OptionSpec<Integer> daemons = integerOption(parser, "daemons", 16);
    final OptionSpec<Integer> importers = integerOption(parser, "importers", 0);
    final OptionSpec<String> fault =
        parser.accepts("fault", "fault to provoke").withRequiredArg().defaultsTo("");
    final OptionSpec<String> strategy =
        parser.accepts("strategy", "routing").withRequiredArg().defaultsTo("AFFINITY");
    OptionSet given;
    try {
      given = parser.parse(args);
    } catch (OptionException e) {
      System.err.println("bench: " + e.getMessage() + "; see bench --help");
      System.exit(ExitCode.USAGE);
      return;
    }
    if (given.has("version")) {
      System.out.println("bench " + Version.PRODUCT);
      System.exit(ExitCode.OK);
    }
    List<?> words = given.nonOptionArguments();
    String name = words.size() == 1 ? words.get(0).toString() : "";
    BenchOptions options =
        new BenchOptions(
            given.valueOf(replicas),
            given.valueOf(regions),
            given.valueOf(megabytes),
            given.valueOf(seconds),
            given.valueOf(fault),
            given.valueOf(daemons),
            given.valueOf(importers),
            given.valueOf(strategy));
    for (Bench b : BENCHES) {
      if (b.name().equals(name) && !given.has("help")) {
        Report r = b.run(options);
        System.out.print(given.has("json") ? r.toJson() + "\n" : r.toTable());
        System.exit(ExitCode.OK);
      }
    }
    System.out.println("bench NAME [options]; measurements:");
    for (Bench b : BENCHES) {
      System.out.printf("  %-10s %s%n", b.name(), b.summary());
    }
    parser.printHelpOn(System.out);
    System.exit(given.has("help") ? ExitCode.OK : ExitCode.USAGE);
  }

  private static OptionSpec<Integer> integerOption(
      OptionParser parser, String name, int otherwise) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(otherwise);
  }
}
