package org.cornelchute.core.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cornelchute.core.Version;
import org.cornelchute.core.cfg.Settings;
import org.cornelchute.core.cfg.SettingsReader;
import org.cornelchute.core.outcome.Failure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Command line shared by the daemons: settings file, check, defaults, help and version.
 *
 * @param <T> type of the daemon's settings
 */
public final class DaemonCommand<T extends Settings> {

  private static final Logger LOG = LoggerFactory.getLogger(DaemonCommand.class);

  private final String name;
  private final String purpose;
  private final T defaults;
  private final PrintStream out;
  private final PrintStream err;
  private String fallbackFile = "";

  /** Creates the command line of one daemon. */
  public DaemonCommand(String name, String purpose, T defaults, PrintStream out, PrintStream err) {
    this.name = name;
    this.purpose = purpose;
    this.defaults = defaults;
    this.out = out;
    this.err = err;
  }

  /** Names the settings file that is read where no option names one; null or empty for none. */
  public DaemonCommand<T> withDefaultSettingsFile(String file) {
    fallbackFile = file == null ? "" : file;
    return this;
  }

  /**
   * Reads the arguments.
   *
   * @return the settings to run with, or the exit code to end with
   */
  public Either<Integer, T> parse(String... args) {
    OptionParser parser = new OptionParser();
    parser.accepts("check-settings", "check the settings, say so and end");
    parser.accepts("print-defaults", "print the default settings and end");
    parser.accepts("help", "print this help and end").forHelp();
    parser.accepts("version", "print the version and end").forHelp();
    OptionSpec<String> settings =
        parser
            .accepts("settings", "file of settings, JSON with comments")
            .withRequiredArg()
            .describedAs("FILE");
    OptionSet given;
    try {
      given = parser.parse(args);
    } catch (OptionException e) {
      err.println(name + ": " + e.getMessage() + "; see " + name + " --help");
      return Either.left(ExitCode.USAGE);
    }
    Optional<Integer> ended = answerQuestions(parser, given);
    if (ended.isPresent()) {
      return Either.left(ended.get());
    }
    if (!given.has(settings) && fallbackFile.isEmpty()) {
      err.println(name + ": --settings FILE is required; --print-defaults shows its form");
      return Either.left(ExitCode.USAGE);
    }
    Path file = Path.of(given.has(settings) ? given.valueOf(settings) : fallbackFile);
    Either<Failure, T> read = new SettingsReader().read(file, defaults);
    if (read.isLeft()) {
      err.println(name + ": " + read.getLeft().message());
      return Either.left(ExitCode.USAGE);
    }
    if (given.has("check-settings")) {
      out.println(name + ": " + file + ": settings are valid");
      return Either.left(ExitCode.OK);
    }
    return Either.right(read.get());
  }

  /**
   * Reads the settings file again and logs whether it still says the same.
   *
   * <p>Settings that changed take effect at the next start.
   *
   * @param file the file, never null
   * @param running settings that the process runs with, never null
   */
  public void logSettingsChange(Path file, T running) {
    Either<Failure, T> read = new SettingsReader().read(file, defaults);
    if (read.isLeft()) {
      LOG.error("reload file={} refused cause={}", file, read.getLeft().message());
    } else if (read.get().equals(running)) {
      LOG.info("reload file={} changed=false", file);
    } else {
      LOG.warn("reload file={} changed=true effect=\"at the next start\"", file);
    }
  }

  private Optional<Integer> answerQuestions(OptionParser parser, OptionSet given) {
    if (given.has("version")) {
      out.println(name + " " + Version.PRODUCT + " (protocol " + Version.PROTOCOL + ")");
      return Optional.of(ExitCode.OK);
    }
    if (given.has("help")) {
      out.println(name + " - " + purpose);
      try {
        parser.printHelpOn(out);
      } catch (IOException e) {
        return Optional.of(ExitCode.FAILED);
      }
      return Optional.of(ExitCode.OK);
    }
    if (given.has("print-defaults")) {
      out.println(new SettingsReader().toJson(defaults));
      return Optional.of(ExitCode.OK);
    }
    return Optional.empty();
  }
}
