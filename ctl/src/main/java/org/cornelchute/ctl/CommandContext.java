package org.cornelchute.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;

/**
 * What every command works with.
 *
 * @param rulesLog the log of accepted rules
 * @param members the view of a member process
 * @param json whether output is JSON
 * @param author who runs the command
 * @param waitSeconds how long to wait for a change to be in force everywhere
 * @param out standard output
 * @param err standard error
 */
record CommandContext(
    RulesLog rulesLog,
    MembersClient members,
    boolean json,
    String author,
    int waitSeconds,
    PrintStream out,
    PrintStream err) {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  /** Prints a value as JSON, or its text form. */
  void print(Object value, String text) {
    if (!json) {
      out.println(text);
      return;
    }
    try {
      out.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be encoded", e);
    }
  }

  /** Reports a failure and returns the exit code that goes with it. */
  int fail(Failure failure) {
    err.println("cornelctl: " + failure.message());
    return switch (failure.code()) {
      case INVALID, NOT_FOUND -> ExitCode.USAGE;
      case CONFLICT -> ExitCode.CONFLICT;
      case UNKNOWN -> ExitCode.UNKNOWN;
      case UNAVAILABLE -> ExitCode.FAILED;
    };
  }
}
