package org.cornelchute.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.core.outcome.Failure;

/**
 * Clients, options and output streams that all commands use.
 *
 * @param rulesLog log of accepted rules
 * @param members client of the members
 * @param call what the options say of the call that a command asks about
 * @param json whether to print JSON
 * @param author name recorded as the author of a change
 * @param waitSeconds maximum time to wait until a change is in force at all members
 * @param out standard output
 * @param err standard error
 */
record CommandContext(
    RulesLog rulesLog,
    MembersClient members,
    CallDescription call,
    boolean json,
    String author,
    int waitSeconds,
    PrintStream out,
    PrintStream err) {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  /** Prints {@code value} if JSON output is on, otherwise {@code text}. */
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

  /** Prints a failure to standard error and returns its exit code. */
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
