package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.store.Backoff;
import org.cornelchute.net.store.EpochTracker;
import org.cornelchute.net.store.RetryingRead;
import org.cornelchute.net.store.RowStore;
import org.cornelchute.net.store.RowsResponse;
import org.cornelchute.net.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the time at which an entry first saw each weights version, on the store's clock.
 *
 * <p>Each version must be in use within a fixed time of its assignment. A process that starts later
 * reads the version but not its age, and a process that could not reach the store learns of the
 * version late. The first entry that sees a version therefore stores the time for the others. Until
 * the stored time is known, the listener is told that the age of the version is unknown; reads and
 * writes are retried until they succeed.
 *
 * <p>After the store was restored from an older copy, the sightings of the newest versions that the
 * copy lacks are stored again, with the times that this entry knows.
 */
public final class FirstSightings {

  /** Table of the sightings: key {@code model/version}, value the time in milliseconds. */
  public static final String TABLE = "sightings";

  private static final Logger LOG = LoggerFactory.getLogger(FirstSightings.class);

  /** Delay of the next read if no entry has stored a sighting of the newest version yet. */
  private static final long MISSING_SIGHTING_DELAY_MILLIS = 500;

  /** Number of such reads; a version that no entry has stored by then stays of unknown age. */
  private static final int MAX_MISSING_SIGHTING_READS = 20;

  /** Number of such reads after which an entry stores the earliest time of a version found late. */
  private static final int READS_BEFORE_LATE_SIGHTING = 2;

  /** Versions of a model whose sightings are stored again: the newest one and those before it. */
  private static final int KEPT_VERSIONS = 2;

  private static final String SEPARATOR = "/";
  private static final long INITIAL_VERSION = 1;
  private static final String NUMBER_PATTERN = "[0-9]{1,18}";

  private final EventLoop loop;
  private final RowStore store;
  private final ServingStateListener listener;
  private final RetryingRead read;
  private final Backoff writeBackoff;
  private final LogLimiter ignoredRowLimiter = new LogLimiter();
  private final Map<String, Long> newestVersionByModel = new HashMap<>();
  private final Map<String, OwnSighting> ownSightingByKey = new HashMap<>();

  /** Earliest times of versions that this entry found late, by key; written only if missing. */
  private final Map<String, OwnSighting> lateSightingByKey = new HashMap<>();

  /** Earliest known sightings of assigned versions, by key. */
  private final Map<String, OwnSighting> knownSightingByKey = new HashMap<>();

  private final Random random;

  /** Whether the sightings have not been read since the store was restored. */
  private boolean restored;

  private int missingSightingReads;

  /**
   * Creates an instance that knows no versions; must be used on the event loop only.
   *
   * @param clock steady clock in milliseconds
   * @param seed seed of the random part of the retry delays
   */
  public FirstSightings(
      EventLoop loop,
      RowStore store,
      LongSupplier clock,
      long seed,
      ServingStateListener listener) {
    this.loop = loop;
    this.store = store;
    this.listener = listener;
    this.read =
        new RetryingRead(
            loop,
            clock,
            seed,
            "first sightings",
            callback -> store.readTable(TABLE, callback),
            this::handleRows);
    this.writeBackoff = new Backoff(seed + 1);
    this.random = new Random(seed);
    store.epochs().addListener(epoch -> onEpochChanged());
  }

  /**
   * Handles a version of a model that operators assigned.
   *
   * @param initial whether the version was found by the first read of this process, which does not
   *     show when it was assigned
   * @param storeTimeMillis time of the read on the store's clock
   */
  public void onVersionAssigned(String model, long version, boolean initial, long storeTimeMillis) {
    if (!recordNewest(model, version, initial)) {
      return;
    }
    if (initial) {
      read.request();
      return;
    }
    OwnSighting own = new OwnSighting(model, version, storeTimeMillis);
    ownSightingByKey.put(own.key(), own);
    recordKnown(own);
    create(own);
  }

  /**
   * Handles a version that operators assigned while this entry could not read the table. Another
   * entry may know the time better, so that this one reads it first. If no entry stores one, this
   * one stores the earliest possible time.
   *
   * @param seenUntilMillis time on the store's clock at which the version was not yet assigned
   */
  public void onVersionFoundLate(String model, long version, long seenUntilMillis) {
    if (!recordNewest(model, version, false)) {
      return;
    }
    OwnSighting late = new OwnSighting(model, version, seenUntilMillis);
    lateSightingByKey.put(late.key(), late);
    read.request();
  }

  /** Records the newest version of a model; returns false if it is known already. */
  private boolean recordNewest(String model, long version, boolean initial) {
    Long known = newestVersionByModel.get(model);
    if (known != null && known >= version) {
      return false;
    }
    lateSightingByKey.values().removeIf(s -> s.model().equals(model));
    newestVersionByModel.put(model, version);
    missingSightingReads = 0;
    LOG.info(
        "weights version assigned model={} version={} age not confirmed initial={}",
        model,
        version,
        initial);
    listener.recordVersionOfUnknownAge(model, version);
    long previous = known == null ? INITIAL_VERSION : known;
    if (version - 1 > previous) {
      // The row of a version in between was overwritten before this process could read it.
      listener.recordVersionOfUnknownAge(model, version - 1);
    }
    return true;
  }

  /** Reads the stored sightings again, since the ages known to the listener are out of date. */
  public void refresh() {
    if (!newestVersionByModel.isEmpty()) {
      read.restart();
    }
  }

  /** Reads the sightings again, so that those which the store has lost are stored again. */
  private void onEpochChanged() {
    if (newestVersionByModel.isEmpty()) {
      return;
    }
    restored = true;
    loop.schedule(read::restart, EpochTracker.drawRereadDelay(random), TimeUnit.MILLISECONDS);
  }

  /** Records a sighting, unless an earlier one is known or the version is superseded for long. */
  private void recordKnown(OwnSighting sighting) {
    knownSightingByKey.merge(
        sighting.key(), sighting, (a, b) -> a.seenAtMillis() <= b.seenAtMillis() ? a : b);
    long newest = newestVersionByModel.getOrDefault(sighting.model(), INITIAL_VERSION);
    knownSightingByKey
        .values()
        .removeIf(s -> s.model().equals(sighting.model()) && s.version() <= newest - KEPT_VERSIONS);
  }

  /** Returns the key of the row that holds the first sighting of a version. */
  public static String key(String model, long version) {
    return model + SEPARATOR + version;
  }

  /**
   * Decodes a row of the table; empty if it holds no sighting, or one under another key than {@link
   * #key} returns.
   */
  public static Option<Sighting> decode(StoredRow row) {
    int separator = row.key().lastIndexOf(SEPARATOR);
    String version = row.key().substring(separator + 1);
    String time = new String(row.value(), StandardCharsets.UTF_8);
    if (separator <= 0 || !version.matches(NUMBER_PATTERN) || !time.matches(NUMBER_PATTERN)) {
      return Option.none();
    }
    Sighting sighting =
        new Sighting(
            row.key().substring(0, separator), Long.parseLong(version), Long.parseLong(time));
    return Option.some(sighting)
        .filter(s -> key(s.model(), s.version()).equals(row.key()) && s.version() > 0);
  }

  private void create(OwnSighting own) {
    store.create(
        TABLE, own.key(), own.value(), result -> handleWritten(own, result, () -> create(own)));
  }

  /** Reads the stored sighting after a write or a conflict; retries the write otherwise. */
  private void handleWritten(OwnSighting own, Either<Failure, Long> result, Runnable retry) {
    boolean conflict = result.isLeft() && result.getLeft().code() == Failure.Code.CONFLICT;
    if (result.isRight() || conflict) {
      writeBackoff.reset();
      read.request();
    } else {
      retryWrite(own, result.getLeft(), retry);
    }
  }

  /**
   * Replaces a stored sighting that is later than the one of this entry.
   *
   * @param storedVersion version of the row that holds the later sighting; a write that is
   *     performed late must not replace an earlier sighting that was stored meanwhile
   */
  private void lower(OwnSighting own, long storedVersion) {
    long epoch = store.epochs().current();
    store.replace(
        TABLE,
        own.key(),
        own.value(),
        storedVersion,
        result -> handleWritten(own, result, () -> lowerAgain(own, storedVersion, epoch)));
  }

  /** Repeats a write, or reads the row if its version is of an earlier epoch. */
  private void lowerAgain(OwnSighting own, long storedVersion, long epoch) {
    if (epoch == store.epochs().current()) {
      lower(own, storedVersion);
    } else {
      read.request();
    }
  }

  private void retryWrite(OwnSighting own, Failure failure, Runnable retry) {
    if (!writeBackoff.isActive()) {
      LOG.warn(
          "first sighting not stored, will retry key={} cause={}", own.key(), failure.message());
    }
    loop.schedule(retry, writeBackoff.onFailure(), TimeUnit.MILLISECONDS);
  }

  private void handleRows(RowsResponse response, long elapsedMillis) {
    boolean firstOfEpoch = restored;
    restored = false;
    if (firstOfEpoch) {
      ownSightingByKey.putAll(knownSightingByKey);
    }
    Set<String> storedKeys = new HashSet<>();
    for (StoredRow row : response.rows()) {
      if (handleRow(row, response.storeTimeMillis(), elapsedMillis)) {
        storedKeys.add(row.key());
      }
    }
    if (firstOfEpoch) {
      knownSightingByKey.values().stream()
          .filter(s -> !storedKeys.contains(s.key()))
          .forEach(this::create);
    }
    readMissingSightings(storedKeys);
  }

  /**
   * Reports one stored sighting. Superseded versions are reported as well: from a certain age of
   * each version on, calls must start on that version or a newer one. A version that is newer than
   * the one that operators assigned is not: no endpoint may ever hold it.
   *
   * @param storeTimeMillis time of the response on the store's clock
   * @param elapsedMillis time of the read, for all of which the response may have been on its way
   * @return whether the row holds a sighting
   */
  private boolean handleRow(StoredRow row, long storeTimeMillis, long elapsedMillis) {
    Option<Sighting> sighting =
        decode(row).filter(s -> s.seenAtMillis() <= storeTimeMillis && mayBeAssigned(s));
    if (sighting.isEmpty()) {
      ignoredRowLimiter.log(
          suppressed ->
              LOG.warn(
                  "row that is no sighting ignored table={} key={} suppressed={}",
                  TABLE,
                  row.key(),
                  suppressed));
      return false;
    }
    String model = sighting.get().model();
    long version = sighting.get().version();
    long seenAtMillis = sighting.get().seenAtMillis();
    OwnSighting own = ownSightingByKey.remove(row.key());
    if (own != null && own.seenAtMillis() < seenAtMillis) {
      seenAtMillis = own.seenAtMillis();
      ownSightingByKey.put(own.key(), own);
      lower(own, row.version());
    }
    recordKnown(new OwnSighting(model, version, seenAtMillis));
    long ageMillis = storeTimeMillis - seenAtMillis;
    LOG.info(
        "weights version assigned model={} version={} ageMs={} readMs={}",
        model,
        version,
        ageMillis,
        elapsedMillis);
    listener.recordVersion(model, version, ageMillis, ageMillis + elapsedMillis);
    return true;
  }

  /**
   * Returns whether operators may have assigned a version: up to the newest one that is known, and
   * the first one of a model that none is known of.
   */
  private boolean mayBeAssigned(Sighting sighting) {
    return sighting.version()
        <= newestVersionByModel.getOrDefault(sighting.model(), INITIAL_VERSION + 1);
  }

  /** Reads again if the newest version of a model has no sighting, which may still be written. */
  private void readMissingSightings(Set<String> storedKeys) {
    for (Map.Entry<String, Long> newest : newestVersionByModel.entrySet()) {
      String key = key(newest.getKey(), newest.getValue());
      boolean missing = !storedKeys.contains(key) && !ownSightingByKey.containsKey(key);
      if (missing && missingSightingReads < MAX_MISSING_SIGHTING_READS) {
        missingSightingReads++;
        createLate(key);
        loop.schedule(read::request, MISSING_SIGHTING_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return;
      }
    }
  }

  private void createLate(String key) {
    OwnSighting late = lateSightingByKey.get(key);
    if (late != null && missingSightingReads > READS_BEFORE_LATE_SIGHTING) {
      lateSightingByKey.remove(key);
      create(late);
    }
  }

  /**
   * Stored first sighting of a version.
   *
   * @param model name of the model
   * @param version version of its weights
   * @param seenAtMillis time of the sighting on the store's clock
   */
  public record Sighting(String model, long version, long seenAtMillis) {}

  /**
   * Sighting of this entry that may not be stored yet.
   *
   * @param seenAtMillis time of the read that showed the version, on the store's clock
   */
  private record OwnSighting(String model, long version, long seenAtMillis) {

    String key() {
      return FirstSightings.key(model, version);
    }

    byte[] value() {
      return Long.toString(seenAtMillis).getBytes(StandardCharsets.UTF_8);
    }
  }
}
