package org.cornelchute.standin.bench;

import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cli.ExitCode;

/** The program {@code bench}, which runs one benchmark and prints its figures. */
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

  /** Runs the benchmark named by the first argument. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help and exit").forHelp();
    parser.accepts("version", "print the version and exit").forHelp();
    parser.accepts("json", "print one JSON document and nothing else on standard output");
    final OptionSpec<Integer> replicas = integerOption(parser, "replicas", 24);
    final OptionSpec<Integer> regions = integerOption(parser, "regions", 1);
    final OptionSpec<Integer> megabytes = integerOption(parser, "megabytes", 8);
    final OptionSpec<Integer> seconds = integerOption(parser, "seconds", 10);
    final OptionSpec<Integer> daemons = integerOption(parser, "daemons", 16);
    final OptionSpec<Integer> importers = integerOption(parser, "importers", 0);
    final OptionSpec<String> fault =
        parser.accepts("fault", "fault to inject").withRequiredArg().defaultsTo("");
    final OptionSpec<String> strategy =
        parser.accepts("strategy", "routing").withRequiredArg().defaultsTo("AFFINITY");
    OptionSet arguments;
    try {
      arguments = parser.parse(args);
    } catch (OptionException e) {
      System.err.println("bench: " + e.getMessage() + "; see bench --help");
      System.exit(ExitCode.USAGE);
      return;
    }
    if (arguments.has("version")) {
      System.out.println("bench " + Version.PRODUCT);
      System.exit(ExitCode.OK);
    }
    List<?> names = arguments.nonOptionArguments();
    String name = names.size() == 1 ? names.get(0).toString() : "";
    BenchOptions options =
        new BenchOptions(
            arguments.valueOf(replicas),
            arguments.valueOf(regions),
            arguments.valueOf(megabytes),
            arguments.valueOf(seconds),
            arguments.valueOf(fault),
            arguments.valueOf(daemons),
            arguments.valueOf(importers),
            arguments.valueOf(strategy));
    for (Bench bench : BENCHES) {
      if (bench.name().equals(name) && !arguments.has("help")) {
        Report report = bench.run(options);
        System.out.print(arguments.has("json") ? report.toJson() + "\n" : report.toTable());
        System.exit(ExitCode.OK);
      }
    }
    System.out.println("usage: bench NAME [options]; benchmarks:");
    for (Bench bench : BENCHES) {
      System.out.printf("  %-10s %s%n", bench.name(), bench.summary());
    }
    parser.printHelpOn(System.out);
    System.exit(arguments.has("help") ? ExitCode.OK : ExitCode.USAGE);
  }

  private static OptionSpec<Integer> integerOption(
      OptionParser parser, String name, int defaultValue) {
    return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }
}
