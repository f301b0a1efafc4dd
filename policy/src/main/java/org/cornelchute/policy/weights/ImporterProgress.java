package org.cornelchute.policy.weights;

import java.util.HashMap;
import java.util.Map;

/** Knows which importers of a region have brought no new chunk for long, so that others help. */
final class ImporterProgress {

  /** Minimum time without a new chunk from an importer after which it counts as stalled. */
  private static final long STALLED_MILLIS = 300;

  /**
   * The same time as a multiple of the mean duration of this agent's imports: while all importers
   * read from the origin, a chunk may wait there longer than the minimum.
   */
  private static final double STALLED_FACTOR = 2.0;

  /** Weight of a new sample in the moving average of durations. */
  private static final double SMOOTHING = 0.3;

  private final long startedAt;

  /** Time of the last new chunk by the index of the importer that it is assigned to. */
  private final Map<Integer, Long> lastChunkAtByImporter = new HashMap<>();

  private double meanImportMillis;

  ImporterProgress(long now) {
    startedAt = now;
  }

  /** Records a chunk that is new to the region. */
  void onNewChunk(long now, int importer) {
    lastChunkAtByImporter.put(importer, now);
  }

  /** Records an import that this agent has completed. */
  void onImported(long durationMillis) {
    meanImportMillis += SMOOTHING * (durationMillis - meanImportMillis);
  }

  /** Returns whether an importer has brought no new chunk for long. */
  boolean isStalled(long now, int importer) {
    double limit = Math.max(STALLED_MILLIS, STALLED_FACTOR * meanImportMillis);
    return now - lastChunkAtByImporter.getOrDefault(importer, startedAt) >= limit;
  }
}
