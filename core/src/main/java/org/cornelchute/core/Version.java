package org.cornelchute.core;

/** Version of the programs, and version of the protocol that their frames carry. */
public final class Version {

  /** Product version, as printed by {@code --version}. */
  public static final String PRODUCT = "0.1.0";

  /** Version of the internal protocol; a peer with another version is refused with an error. */
  public static final int PROTOCOL = 1;

  private Version() {}
}
