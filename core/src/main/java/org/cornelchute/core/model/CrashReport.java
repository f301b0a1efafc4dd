package org.cornelchute.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * A response that broke off after an endpoint had begun it.
 *
 * <p>Builds before the last two components send and read reports without them.
 *
 * @param endpoint hash code of the endpoint's incarnation
 * @param ageMillis time since the response broke off
 * @param parts ids of the shared parts of the call's prompt, in prompt order, never null
 * @param openMillis time from sending the call to the endpoint until its response broke off
 * @param id number of the observation, the same in all reports of it; {@link #UNNUMBERED} if the
 *     report is of a build that does not number them, and then the time is unknown
 */
public record CrashReport(int endpoint, long ageMillis, List<Long> parts, long openMillis, int id) {

  /** Id in reports of builds that do not number their observations. */
  public static final int UNNUMBERED = 0;

  /** Creates a report without a number. */
  public CrashReport(int endpoint, long ageMillis, List<Long> parts) {
    this(endpoint, ageMillis, parts, 0, UNNUMBERED);
  }

  /** Returns whether the report has a number and the time at which the call was sent. */
  @JsonIgnore
  public boolean isNumbered() {
    return id != UNNUMBERED;
  }
}
