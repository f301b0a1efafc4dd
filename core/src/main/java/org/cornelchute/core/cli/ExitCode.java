package org.cornelchute.core.cli;

/** Exit codes of every program. */
public final class ExitCode {

  /** Done as asked. */
  public static final int OK = 0;

  /** Failed while running; the message says why. */
  public static final int FAILED = 1;

  /** Wrong arguments or settings; nothing was done. */
  public static final int USAGE = 2;

  /** Another writer won; look at the difference and try again. */
  public static final int CONFLICT = 3;

  /** The effect of the command is not known. */
  public static final int UNKNOWN = 4;

  private ExitCode() {}
}
