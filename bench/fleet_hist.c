#include "fleet_hist.h"

#include <gsl/gsl_histogram.h>
#include <math.h>

#include "common/mem.h"

/* From 10 us to 60 s in steps of 2 %. */
static const double first_ms = 0.01;
static const double last_ms = 60000;
static const double step = 1.02;

struct fleet_hist {
    gsl_histogram *bins;
};

fleet_hist_t *
fleet_hist_create(void)
{
    fleet_hist_t *hist = MR_NEW(fleet_hist_t);
    size_t count = (size_t)ceil(log(last_ms / first_ms) / log(step));
    double *ranges = mr_calloc(count + 1, sizeof(*ranges));

    for (size_t i = 0; i <= count; i++) {
        ranges[i] = first_ms * pow(step, (double)i);
    }
    hist->bins = gsl_histogram_alloc(count);
    gsl_histogram_set_ranges(hist->bins, ranges, count + 1);
    free(ranges);
    return hist;
}

void
fleet_hist_destroy(fleet_hist_t *hist)
{
    if (hist != NULL) {
        gsl_histogram_free(hist->bins);
        free(hist);
    }
}

void
fleet_hist_add(fleet_hist_t *hist, double ms)
{
    /* A value out of range would not be counted. */
    gsl_histogram_increment(hist->bins, fmin(fmax(ms, first_ms), last_ms));
}

void
fleet_hist_merge(fleet_hist_t *hist, const fleet_hist_t *other)
{
    gsl_histogram_add(hist->bins, other->bins);
}

double
fleet_hist_count(const fleet_hist_t *hist)
{
    return gsl_histogram_sum(hist->bins);
}

double
fleet_hist_percentile(const fleet_hist_t *hist, double percent)
{
    double wanted = fleet_hist_count(hist) * percent / 100;
    double seen = 0;

    for (size_t i = 0; i < gsl_histogram_bins(hist->bins); i++) {
        seen += gsl_histogram_get(hist->bins, i);
        if (seen > 0 && seen >= wanted) {
            double lower;
            double upper;
            gsl_histogram_get_range(hist->bins, i, &lower, &upper);
            return upper;
        }
    }
    return 0;
}
