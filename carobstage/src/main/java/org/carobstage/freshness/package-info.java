/** Known log positions of primaries and their age, which bound the staleness of replica reads. */
package org.carobstage.freshness;
