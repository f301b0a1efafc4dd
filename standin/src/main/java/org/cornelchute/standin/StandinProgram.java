package org.cornelchute.standin;

import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.standin.server.EngineStandin;
import org.cornelchute.standin.server.OriginStandin;
import org.cornelchute.standin.server.PlatformStandin;
import org.cornelchute.standin.server.ServiceStandin;
import reactor.core.publisher.Mono;

/** The program {@code standin}, which runs one stand-in until it is stopped. */
public final class StandinProgram {

  /** Latencies and capacities of a fast engine. */
  public static final EngineStandin.Options FAST_ENGINE =
      new EngineStandin.Options(10_000, 50, 2, 16, 2, 200, 500, true, true);

  private StandinProgram() {}

  /** Runs the stand-in named by the first argument. */
  public static void main(String[] args) throws IOException {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "print this help and exit").forHelp();
    parser.accepts("version", "print the version and exit").forHelp();
    final OptionSpec<Integer> portOption =
        parser.accepts("port").withRequiredArg().ofType(Integer.class).defaultsTo(4_000);
    final OptionSpec<Long> rateOption =
        parser
            .accepts("bytes-per-second", "rate of the origin's link, 0 for no limit")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(0L);
    OptionSet options;
    try {
      options = parser.parse(args);
    } catch (OptionException e) {
      System.err.println("standin: " + e.getMessage() + "; see standin --help");
      System.exit(ExitCode.USAGE);
      return;
    }
    if (options.has("version")) {
      System.out.println("standin " + Version.PRODUCT);
      return;
    }
    List<?> arguments = options.nonOptionArguments();
    if (options.has("help") || arguments.size() != 1) {
      System.out.println("standin platform|origin|engine|service [--port N]");
      parser.printHelpOn(System.out);
      System.exit(options.has("help") ? ExitCode.OK : ExitCode.USAGE);
    }
    int port = options.valueOf(portOption);
    Mono<Void> closed =
        switch (arguments.get(0).toString()) {
          case "platform" -> new PlatformStandin(port).onClose();
          case "origin" -> new OriginStandin(port, options.valueOf(rateOption)).onClose();
          case "engine" -> new EngineStandin(port, FAST_ENGINE).onClose();
          case "service" -> new ServiceStandin(port).onClose();
          default ->
              Mono.error(new IllegalArgumentException("unknown stand-in " + arguments.get(0)));
        };
    closed.block();
  }
}
