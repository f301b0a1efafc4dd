package org.cornelchute.standin.server;

import org.cornelchute.policy.util.RendezvousHash;

/**
 * The tokens that the engine stand-in generates: each follows from prompt, manifest and position,
 * so that a checker can tell a whole, unmixed answer from any other.
 */
public final class TokenText {

  private TokenText() {}

  /** Returns one token, with the blank behind it. */
  public static String token(String prompt, String manifest, int index) {
    long hash = RendezvousHash.weight(prompt + '\n' + manifest, Integer.toString(index));
    return String.format("%08x ", (int) hash);
  }

  /** Returns the text of a whole answer. */
  public static String text(String prompt, String manifest, int tokens) {
    StringBuilder text = new StringBuilder(9 * tokens);
    for (int i = 0; i < tokens; i++) {
      text.append(token(prompt, manifest, i));
    }
    return text.toString();
  }
}
