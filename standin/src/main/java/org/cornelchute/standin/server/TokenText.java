package org.cornelchute.standin.server;

import org.cornelchute.policy.util.RendezvousHash;

/**
 * Generates the tokens of the engine stand-in. Each token is derived from the prompt, the manifest
 * and its position, so that a client can detect a response that is truncated, belongs to another
 * request or mixes versions of the weights.
 */
public final class TokenText {

  private TokenText() {}

  /** Returns one token, followed by a space. */
  public static String token(String prompt, String manifest, int index) {
    long hash = RendezvousHash.weight(prompt + '\n' + manifest, Integer.toString(index));
    return String.format("%08x ", (int) hash);
  }

  /** Returns the text of a complete response. */
  public static String text(String prompt, String manifest, int tokens) {
    StringBuilder text = new StringBuilder(9 * tokens);
    for (int i = 0; i < tokens; i++) {
      text.append(token(prompt, manifest, i));
    }
    return text.toString();
  }
}
