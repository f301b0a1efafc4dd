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
 * Command line of the daemons: settings file, settings check, default settings, help and version.
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
  private String defaultSettingsFile = "";

  /** Creates the command line of one daemon. */
  public DaemonCommand(String name, String purpose, T defaults, PrintStream out, PrintStream err) {
    this.name = name;
    this.purpose = purpose;
    this.defaults = defaults;
    this.out = out;
    this.err = err;
  }

  /** Sets the settings file to read if the option is not given; null or empty for none. */
  public DaemonCommand<T> withDefaultSettingsFile(String file) {
    defaultSettingsFile = file == null ? "" : file;
    return this;
  }

  /**
   * Parses the arguments and reads the settings file.
   *
   * @return the settings to run with, or the exit code if the program should exit
   */
  public Either<Integer, T> parse(String... args) {
    OptionParser parser = new OptionParser();
    parser.accepts("check-settings", "validate the settings file and exit");
    parser.accepts("print-defaults", "print the default settings and exit");
    parser.accepts("help", "print this help and exit").forHelp();
    parser.accepts("version", "print the version and exit").forHelp();
    OptionSpec<String> settings =
        parser
            .accepts("settings", "settings file, JSON with comments")
            .withRequiredArg()
            .describedAs("FILE");
    OptionSet given;
    try {
      given = parser.parse(args);
    } catch (OptionException e) {
      err.println(name + ": " + e.getMessage() + "; see " + name + " --help");
      return Either.left(ExitCode.USAGE);
    }
    Optional<Integer> exitCode = handleInformationOptions(parser, given);
    if (exitCode.isPresent()) {
      return Either.left(exitCode.get());
    }
    if (!given.has(settings) && defaultSettingsFile.isEmpty()) {
      err.println(name + ": --settings FILE is required; --print-defaults shows its format");
      return Either.left(ExitCode.USAGE);
    }
    Path file = Path.of(given.has(settings) ? given.valueOf(settings) : defaultSettingsFile);
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
   * Rereads the settings file and logs whether it differs from the settings in use.
   *
   * <p>Changed settings take effect when the process is next started.
   *
   * @param file settings file, never null
   * @param running settings in use by the process, never null
   */
  public void logSettingsChange(Path file, T running) {
    Either<Failure, T> read = new SettingsReader().read(file, defaults);
    if (read.isLeft()) {
      LOG.error(
          "settings reload rejected, running settings stay in use file={} cause={}",
          file,
          read.getLeft().message());
    } else if (read.get().equals(running)) {
      LOG.info("settings reload file={} changed=false", file);
    } else {
      LOG.warn("settings reload file={} changed=true effect=\"at the next start\"", file);
    }
  }

  /** Executes an option that only prints something; returns the exit code if there was one. */
  private Optional<Integer> handleInformationOptions(OptionParser parser, OptionSet given) {
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
