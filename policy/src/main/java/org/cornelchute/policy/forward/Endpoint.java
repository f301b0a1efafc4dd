package org.cornelchute.policy.forward;

/** What an entry believes of one endpoint; owned by the {@link EndpointBook}. */
final class Endpoint {

  /** Span in which calls to a cold endpoint are counted: longer than its limit's second. */
  private static final long COLD_SPAN_MILLIS = 1_150;

  /** Time in which what others were seen to run there has gone down to a third. */
  private static final double FOREIGN_FADE_MILLIS = 2_500;

  final RateWindow sent = new RateWindow(COLD_SPAN_MILLIS);
  EndpointSpec spec;
  long version;
  int own;
  long coldUntil;
  long avoidUntil;
  long lastHeard;
  int strikes;

  /** When it is dropped as its entry lapsed, 0 while it is listed. */
  long goneAt;

  /** Version that its engine changes over to, and until when that is believed. */
  long changingTo;

  long changingUntil;
  private double foreign;
  private long foreignAt;

  Endpoint(EndpointSpec spec) {
    this.spec = spec;
    this.version = spec.version();
  }

  /** Takes what the endpoint said of its load in an answer to a call of this entry. */
  void sample(long now, int running, int waiting) {
    double others = Math.max(0, running + waiting - own);
    foreign = others;
    foreignAt = now;
  }

  /** Returns the calls that run or wait there, as far as is known. */
  double load(long now) {
    double age = Math.max(0, now - foreignAt);
    return own + foreign * Math.exp(-age / FOREIGN_FADE_MILLIS);
  }

  /** Returns whether its engine finishes what runs, to load other weights then. */
  boolean isChanging(long now) {
    return version > 0 && version < changingTo && now < changingUntil;
  }

  /** Returns the host part of its address. */
  String host() {
    return spec.address().substring(0, spec.address().lastIndexOf(':'));
  }

  boolean isCold(long now) {
    return now < coldUntil;
  }
}
