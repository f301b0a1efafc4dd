package org.cornelchute.net.util;

import java.util.regex.Pattern;

/** Checks addresses that other programs wrote, before a connection to them is opened. */
public final class Addresses {

  private static final int MAX_OCTET = 255;
  private static final int MAX_PORT = 65_535;
  private static final int OCTETS = 4;
  private static final Pattern FORM =
      Pattern.compile("[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}\\.[0-9]{1,3}:[0-9]{1,5}");

  private Addresses() {}

  /** Returns whether a text is an IPv4 address and a port that can be connected to. */
  public static boolean isValid(String address) {
    if (!FORM.matcher(address).matches()) {
      return false;
    }
    String[] numbers = address.split("[.:]");
    for (int i = 0; i < OCTETS; i++) {
      if (Integer.parseInt(numbers[i]) > MAX_OCTET) {
        return false;
      }
    }
    int port = Integer.parseInt(numbers[OCTETS]);
    return port > 0 && port <= MAX_PORT;
  }
}
