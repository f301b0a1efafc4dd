package org.cornelchute.core;

/** The version every program reports and the protocol version its frames carry. */
public final class Version {

  /** Product version, as printed by {@code --version}. */
  public static final String PRODUCT = "0.1.0";

  /**
   * Version of the internal protocol; peers with another version are refused with a clear error.
   */
  public static final int PROTOCOL = 1;

  private Version() {}
}
