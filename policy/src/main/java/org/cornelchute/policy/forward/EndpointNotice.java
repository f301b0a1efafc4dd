package org.cornelchute.policy.forward;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What the head of a response says about further calls to its endpoint.
 *
 * @param leaving whether the endpoint is about to leave and takes no new calls
 * @param pauseMillis time from the response on for which the endpoint takes no calls of this entry,
 *     0 if it does not say so
 * @param unreadable whether the head has a field of this kind that cannot be read
 */
public record EndpointNotice(boolean leaving, long pauseMillis, boolean unreadable) {

  /** The head says nothing. */
  public static final EndpointNotice NONE = new EndpointNotice(false, 0, false);

  private static final String LEAVING_VALUE = "1";

  /** Longest pause that is kept; a longer one is cut to it. */
  private static final long MAX_PAUSE_MILLIS = 86_400_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Decimal number without sign and exponent; its length is bounded so that it stays finite. */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,64}(\\.[0-9]{1,64})?");

  /**
   * Reads the fields of a head. Of several values, the one that keeps more calls from the endpoint
   * counts, and those that cannot be read are ignored.
   *
   * @param status status of the response; only 503 asks for a pause, since with other statuses the
   *     time concerns one request
   * @param leaving values of the field that announces the end of the endpoint, {@code 1} if it does
   * @param retryAfter values of the field {@code Retry-After}, in seconds; dates are not read, as
   *     the clocks of endpoints may differ from the one of this process
   */
  public static EndpointNotice parse(int status, List<String> leaving, List<String> retryAfter) {
    boolean leaves = false;
    boolean unreadable = false;
    for (String value : leaving) {
      boolean read = value.strip().equals(LEAVING_VALUE);
      leaves |= read;
      unreadable |= !read;
    }
    long pauseMillis = 0;
    if (status == ResponseHead.STATUS_SERVICE_UNAVAILABLE) {
      for (String value : retryAfter) {
        String seconds = value.strip();
        if (DECIMAL.matcher(seconds).matches()) {
          pauseMillis = Math.max(pauseMillis, toMillis(Double.parseDouble(seconds)));
        } else {
          unreadable = true;
        }
      }
    }
    return leaves || pauseMillis > 0 || unreadable
        ? new EndpointNotice(leaves, pauseMillis, unreadable)
        : NONE;
  }

  private static long toMillis(double seconds) {
    return (long) Math.ceil(Math.min(MAX_PAUSE_MILLIS, seconds * MILLIS_PER_SECOND));
  }
}
