package org.cornelchute.policy.forward;

/** What an entry believes of one endpoint; owned by the {@link EndpointBook}. */
final class Endpoint {

  /** Span in which calls to a cold endpoint are counted: longer than its limit's second. */
  private static final long COLD_SPAN_MILLIS = 1_150;

  /** Age of the last sight of an endpoint's load beyond which it says little. */
  private static final double SIGHT_FADE_MILLIS = 400;

  /** How much of its own load an entry takes each other entry to have put on an endpoint unseen. */
  private static final double UNSEEN_SHARE = 0.6;

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
  private int ownAtSight;
  private long sightAt = Long.MIN_VALUE / 4;

  Endpoint(EndpointSpec spec) {
    this.spec = spec;
    this.version = spec.version();
  }

  /** Takes what the endpoint said of its load in an answer to a call of this entry. */
  void sample(long now, int running, int waiting) {
    foreign = Math.max(0, running + waiting - own);
    ownAtSight = own;
    sightAt = now;
  }

  /**
   * Estimates the calls that run or wait there.
   *
   * <p>What others have there is what was last seen, moved by as much as the own load has moved
   * since, as other entries see the same and do the same. As that sight ages it gives way to the
   * own load times the number of others: six entries that all find a new endpoint empty would
   * otherwise fill it six times over.
   *
   * @param entries entries that send to it
   */
  double load(long now, int entries) {
    double unseen = own * UNSEEN_SHARE * (entries - 1);
    double seen = Math.max(0, foreign + own - ownAtSight);
    double trust = Math.exp(-(now - sightAt) / SIGHT_FADE_MILLIS);
    return own + trust * seen + (1 - trust) * unseen;
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
