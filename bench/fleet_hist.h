#ifndef MR_BENCH_FLEET_HIST_H
#define MR_BENCH_FLEET_HIST_H

/* Latency histogram with bins of constant relative width, so that high
 * percentiles have the same relative precision as low ones. */

typedef struct fleet_hist fleet_hist_t;

fleet_hist_t *fleet_hist_create(void);
void fleet_hist_destroy(fleet_hist_t *hist);

/** fleet_hist_add() - add a value; those out of range go to the first or last
 * bin. */
void fleet_hist_add(fleet_hist_t *hist, double ms);

/** fleet_hist_merge() - add the values of @other to @hist. */
void fleet_hist_merge(fleet_hist_t *hist, const fleet_hist_t *other);

/** fleet_hist_count() - number of values. */
double fleet_hist_count(const fleet_hist_t *hist);

/** fleet_hist_percentile() - upper bound, in ms, of the bin that contains the
 * percentile; 0 if the histogram is empty. */
double fleet_hist_percentile(const fleet_hist_t *hist, double percent);

#endif
