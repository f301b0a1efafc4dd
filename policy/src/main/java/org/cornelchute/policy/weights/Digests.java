package org.cornelchute.policy.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests in lower-case hex. */
public final class Digests {

  private Digests() {}

  /** Returns the digest of an array. */
  public static String sha256(byte[] bytes) {
    return sha256(bytes, 0, bytes.length);
  }

  /** Returns the digest of {@code length} bytes starting at {@code offset}. */
  public static String sha256(byte[] bytes, int offset, int length) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(bytes, offset, length);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
    }
  }
}
