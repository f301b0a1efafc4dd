package org.cornelchute.net.store;

import java.util.Arrays;

/**
 * What a process knows of one row of another writer, to distinguish a restored copy of the row from
 * one that was written again after the restore; must be used on the event loop only.
 *
 * <p>A copy contains only states of earlier epochs. A row whose version is above the baseline of
 * the epoch, or above every version known of this row, is none of them, and neither is another
 * value under a known version.
 */
public final class KnownRow {

  private final EpochTracker epochs;

  /** Row with the highest version that was taken in any epoch, null if none was. */
  private StoredRow highest;

  private boolean known;

  /** Epoch in which the state of the row was last known, if it is known. */
  private long epoch;

  /** Creates an instance that knows no row. */
  public KnownRow(EpochTracker epochs) {
    this.epochs = epochs;
  }

  /** Returns whether the state of the row is known from an earlier epoch only. */
  public boolean isOfEarlierEpoch() {
    return known && epoch != epochs.current();
  }

  /** Returns whether the store may have restored an offered row, which is then not a newer one. */
  public boolean mayBeRestored(StoredRow offered) {
    if (!isOfEarlierEpoch() || offered.version() > epochs.baseline()) {
      return false;
    }
    return highest == null
        || offered.version() < highest.version()
        || offered.version() == highest.version()
            && Arrays.equals(offered.value(), highest.value());
  }

  /** Records a row that the process follows from now on. */
  public void take(StoredRow row) {
    takeUnversioned();
    if (highest == null || row.version() >= highest.version()) {
      highest = row;
    }
  }

  /** Records that the state of the row is known in the current epoch without the row itself. */
  public void takeUnversioned() {
    known = true;
    epoch = epochs.current();
  }
}
