package org.cornelchute.core.cli;

/** Exit codes of all programs. */
public final class ExitCode {

  /** The command succeeded. */
  public static final int OK = 0;

  /** The command failed at run time; the message gives the reason. */
  public static final int FAILED = 1;

  /** The arguments or settings are invalid; nothing was done. */
  public static final int USAGE = 2;

  /** Another writer changed the data first; review the difference and retry. */
  public static final int CONFLICT = 3;

  /** The command may or may not have had an effect. */
  public static final int UNKNOWN = 4;

  private ExitCode() {}
}
