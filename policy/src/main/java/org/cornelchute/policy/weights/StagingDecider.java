package org.cornelchute.policy.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which chunks of one version are written to an engine's store, and read back, until all
 * are sound there.
 *
 * <p>A chunk in the store may become corrupt at any time, so that a read-back is evidence only for
 * the time of the read. {@link #refresh} reads chunks once more when the evidence has become too
 * old; a chunk that has become corrupt is written again. {@link #recheck} reads all chunks without
 * writing any: a chunk that is sound, and was not written since some time, has been sound since
 * then.
 *
 * <p>There is one writer of the store: a staging that was cancelled starts no further call, and
 * reports its end only once the calls in progress have ended.
 */
public final class StagingDecider {

  /** Pause after a call that failed. */
  private static final long FAILURE_PAUSE_MILLIS = 200;

  /** Pause before a chunk is written again that did not match several times in a row. */
  private static final long REPAIR_PAUSE_MILLIS = 150;

  /** Time without a successful call after which the staging ends. */
  private static final long MAX_FAILING_MILLIS = 3_000;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final int chunks;
  private final CallLimit writeLimit;
  private final CallLimit readLimit;
  private final Deque<Integer> toWrite = new ArrayDeque<>();
  private final Deque<Integer> toRead = new ArrayDeque<>();

  /** Chunks to read that were written again because they did not match. */
  private final Deque<Integer> toRepair = new ArrayDeque<>();

  /** Chunks that did not match since the last result. */
  private final Set<Integer> turnedBad = new TreeSet<>();

  private final Set<Integer> bad = new TreeSet<>();
  private final Set<Integer> foreign = new TreeSet<>();
  private final long[] readAt;
  private final long[] writtenAt;
  private final long[] soundAt;
  private final boolean[] wasRead;

  /** Whether a write had no response, so that it may still arrive and replace a bad chunk. */
  private final boolean[] writeLost;

  private final long startedAt;
  private Task task = Task.STAGE;

  /** First chunk of those that the next result is about, and the one after the last. */
  private int from;

  private int to;

  /** Time since which a chunk that is rechecked must not have been written. */
  private long recheckSince;

  private int inProgress;

  /** Writes in progress of chunks that were not read yet. */
  private int firstWritesInProgress;

  private int reads;
  private int writes;
  private long lastSuccessAt;
  private long pausedUntil;
  private boolean readingStarted;
  private String endCause = "";

  /** Creates the staging of a version with a number of chunks; {@link #start} begins it. */
  public StagingDecider(long now, int chunks) {
    this.chunks = chunks;
    writeLimit = new CallLimit(now, chunks);
    readLimit = new CallLimit(now, chunks);
    readAt = new long[chunks];
    writtenAt = new long[chunks];
    soundAt = new long[chunks];
    wasRead = new boolean[chunks];
    writeLost = new boolean[chunks];
    startedAt = now;
    lastSuccessAt = now;
    to = chunks;
    for (int chunk = 0; chunk < chunks; chunk++) {
      writtenAt[chunk] = NEVER;
      soundAt[chunk] = NEVER;
      toWrite.add(chunk);
    }
  }

  /** Starts to write all chunks. */
  public List<StagingEffect> start(long now) {
    return proceed(now);
  }

  /**
   * Reads some chunks once more, and writes those that do not match; to be called only after a
   * result.
   *
   * @param firstChunk first chunk to read
   * @param endChunk chunk after the last one to read
   */
  public List<StagingEffect> refresh(long now, int firstChunk, int endChunk) {
    return begin(now, Task.STAGE, firstChunk, endChunk);
  }

  /**
   * Reads all chunks once more without writing any; to be called only after a result.
   *
   * @param since time since which a chunk must not have been written to be proven
   */
  public List<StagingEffect> recheck(long now, long since) {
    recheckSince = since;
    bad.clear();
    foreign.clear();
    return begin(now, Task.RECHECK, 0, chunks);
  }

  private List<StagingEffect> begin(long now, Task newTask, int firstChunk, int endChunk) {
    task = newTask;
    endCause = "";
    turnedBad.clear();
    from = firstChunk;
    to = endChunk;
    lastSuccessAt = now;
    writeLimit.restart(now);
    readLimit.restart(now);
    for (int chunk = from; chunk < to; chunk++) {
      toRead.add(chunk);
    }
    return proceed(now);
  }

  /** Starts no further call; the end is reported once the calls in progress have ended. */
  public List<StagingEffect> cancel(long now, String cause) {
    if (endCause.isEmpty()) {
      endCause = cause;
      task = Task.STAGE;
    }
    return proceed(now);
  }

  /** Returns whether there is no result yet. */
  public boolean isActive() {
    return task != Task.NONE;
  }

  /** Continues after a pause; to be called regularly. */
  public List<StagingEffect> tick(long now) {
    return proceed(now);
  }

  /** Handles the outcome of a write. */
  public List<StagingEffect> onWritten(long now, int chunk, boolean accepted) {
    finishCall(now, writeLimit, accepted);
    firstWritesInProgress -= wasRead[chunk] ? 0 : 1;
    if (!accepted) {
      writeLost[chunk] = true;
      toWrite.add(chunk);
    } else {
      (wasRead[chunk] ? toRepair : toRead).add(chunk);
    }
    return proceed(now);
  }

  /** Handles the outcome of a read. */
  public List<StagingEffect> onRead(long now, int chunk, ReadOutcome outcome) {
    finishCall(now, readLimit, outcome != ReadOutcome.FAILED);
    wasRead[chunk] = true;
    if (outcome == ReadOutcome.SOUND) {
      soundAt[chunk] = readAt[chunk];
      turnedBad.remove(chunk);
    } else if (task == Task.RECHECK && outcome == ReadOutcome.FAILED) {
      toRead.add(chunk);
    } else if (task == Task.RECHECK) {
      (outcome == ReadOutcome.FOREIGN ? foreign : bad).add(chunk);
    } else {
      toWrite.add(chunk);
      if (!turnedBad.add(chunk)) {
        // Writing it at the same pace again could meet the same cause.
        pausedUntil = Math.max(pausedUntil, now + REPAIR_PAUSE_MILLIS);
      }
    }
    return proceed(now);
  }

  private void finishCall(long now, CallLimit limit, boolean succeeded) {
    inProgress--;
    if (succeeded) {
      lastSuccessAt = now;
      limit.onSuccess(now);
    } else {
      pausedUntil = now + FAILURE_PAUSE_MILLIS;
      limit.onFailure(now);
    }
  }

  private List<StagingEffect> proceed(long now) {
    List<StagingEffect> effects = new ArrayList<>();
    if (task == Task.NONE) {
      return effects;
    }
    if (endCause.isEmpty() && now - lastSuccessAt >= MAX_FAILING_MILLIS) {
      endCause = "no call to the engine's store succeeded for " + (now - lastSuccessAt) + " ms";
    }
    if (!endCause.isEmpty()) {
      if (inProgress == 0) {
        task = Task.NONE;
        toWrite.clear();
        toRead.clear();
        toRepair.clear();
        effects.add(new StagingEffect.Ended(endCause));
      }
      return effects;
    }
    while (now >= pausedUntil && mayCall(now)) {
      effects.add(nextCall(now));
    }
    if (inProgress == 0 && !hasWaiting()) {
      effects.add(task == Task.RECHECK ? recheckResult() : stagingResult(now));
      task = Task.NONE;
    }
    return effects;
  }

  private boolean hasWaiting() {
    return !toRepair.isEmpty() || !toWrite.isEmpty() || !toRead.isEmpty();
  }

  /** Returns whether the next call may start now. */
  private boolean mayCall(long now) {
    if (!toRepair.isEmpty()) {
      return inProgress < readLimit.value();
    }
    if (!toWrite.isEmpty()) {
      return inProgress < writeLimit.value();
    }
    if (toRead.isEmpty() || firstWritesInProgress > 0) {
      // No chunk is read before all have been written once.
      return false;
    }
    if (!readingStarted) {
      readingStarted = true;
      readLimit.startAt(now, writeLimit.value());
    }
    return inProgress < readLimit.value();
  }

  /**
   * Returns the next call. Writes come before reads, so that the reads lie close together in time;
   * but a chunk that was written again is read at once, before it may become corrupt again.
   */
  private StagingEffect nextCall(long now) {
    inProgress++;
    if (toRepair.isEmpty() && !toWrite.isEmpty()) {
      int chunk = toWrite.poll();
      writtenAt[chunk] = now;
      firstWritesInProgress += wasRead[chunk] ? 0 : 1;
      writes++;
      return new StagingEffect.Write(chunk);
    }
    int chunk = toRepair.isEmpty() ? toRead.poll() : toRepair.poll();
    readAt[chunk] = now;
    reads++;
    return new StagingEffect.Read(chunk, wasRead[chunk]);
  }

  private StagingEffect stagingResult(long now) {
    long oldest = now;
    long newest = NEVER;
    for (int chunk = from; chunk < to; chunk++) {
      oldest = Math.min(oldest, soundAt[chunk]);
      newest = Math.max(newest, soundAt[chunk]);
    }
    return new StagingEffect.Verified(new Evidence(oldest, newest, startedAt, reads, writes));
  }

  private StagingEffect recheckResult() {
    Set<Integer> changed = new TreeSet<>(bad);
    for (int chunk = 0; chunk < chunks; chunk++) {
      if (writtenAt[chunk] >= recheckSince) {
        // It may have been of another version before.
        foreign.add(chunk);
      }
      if (writeLost[chunk]) {
        changed.add(chunk);
      }
    }
    changed.addAll(foreign);
    return new StagingEffect.Rechecked(changed, Set.copyOf(foreign));
  }

  /** Outcome of reading a chunk back. */
  public enum ReadOutcome {
    /** The content matches the manifest. */
    SOUND,
    /** The engine responded, but not with the content of the chunk. */
    BAD,
    /** The content is that of the chunk in another version. */
    FOREIGN,
    /** There was no response in time. */
    FAILED
  }

  private enum Task {
    NONE,
    STAGE,
    RECHECK
  }
}
